"""Choice of upstreams for requests, and the memory that is reserved there."""

from __future__ import annotations
