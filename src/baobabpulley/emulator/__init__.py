"""A whole fleet on one machine, and callers for it; for tests, the demo and benches only."""

from __future__ import annotations
