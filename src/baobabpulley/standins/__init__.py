"""Stand-ins for the platform's services, for tests, the demo and benches only."""

from __future__ import annotations
