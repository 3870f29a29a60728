"""Adapters for the users' platform: its names, data formats and calls, without policy."""

from __future__ import annotations
