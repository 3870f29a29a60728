"""Kinds of store entries that gateways follow."""

from __future__ import annotations

from typing import Final

CONFIGURATION: Final = "configuration"
UPSTREAM: Final = "upstream"
MEMBER: Final = "member"
EVACUATION: Final = "evacuation"
