"""The gateway daemon: opaque exchanges, routed by host and path to upstreams."""

from __future__ import annotations
