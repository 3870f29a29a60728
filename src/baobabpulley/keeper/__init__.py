"""The keeper daemon: settings, membership, reservations and orders, one task per peer."""

from __future__ import annotations
