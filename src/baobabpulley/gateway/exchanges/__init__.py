"""Exchanges: from a caller's request over one or more attempts to the answer."""

from __future__ import annotations
