"""Specifications of the core protocols, checked exhaustively by a model checker."""

from __future__ import annotations
