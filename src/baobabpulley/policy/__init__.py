"""Policies: admission, lanes, routing, gang scheduling, retries and limit commitments."""

from __future__ import annotations
