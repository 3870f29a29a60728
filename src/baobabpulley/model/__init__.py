"""Data that the parts of the system share."""

from __future__ import annotations
