"""The users' platform: its names, formats and calls, and nothing that decides."""

from __future__ import annotations
