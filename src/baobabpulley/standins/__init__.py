"""Stand-ins for the platform's services, only for tests, the demo and benchmarks."""

from __future__ import annotations
