"""Connections of callers: reading requests, writing answers, and closing."""

from __future__ import annotations
