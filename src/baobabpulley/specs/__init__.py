"""Specifications of the core protocols, explored by a model checker."""

from __future__ import annotations
