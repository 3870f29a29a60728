"""Command line of ``baobabpulley``."""

from __future__ import annotations
