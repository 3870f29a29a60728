"""A whole fleet on one machine, with simulated callers; only for tests, the demo and benches."""

from __future__ import annotations
