"""Data types and messages shared by the entry, keeper, gateway and tools."""

from __future__ import annotations
