"""The gateway's copy of the store, and the ways in which it follows it."""

from __future__ import annotations
