"""Abstract interfaces between the policy code and its adapters."""

from __future__ import annotations
