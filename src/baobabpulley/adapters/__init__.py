"""Implementations of the ports over HTTP and pynng."""

from __future__ import annotations
