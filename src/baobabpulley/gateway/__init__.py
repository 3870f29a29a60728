"""The gateway daemon routes requests by host and path to upstreams, without parsing bodies."""

from __future__ import annotations
