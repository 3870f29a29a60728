"""Decisions: admission, lanes, routing, gangs, retries, promises."""

from __future__ import annotations
