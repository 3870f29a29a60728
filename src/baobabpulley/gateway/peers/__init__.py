"""What gateways tell each other."""

from __future__ import annotations
