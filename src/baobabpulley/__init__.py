"""Serving layer for prompts of widely differing lengths on one small fleet of model engines."""

from __future__ import annotations

from importlib import import_module

# Imported on first use: until a daemon handles its signals, its start has to be short.
_MODULES = {
    "BaobabError": "baobabpulley.errors",
    "Settings": "baobabpulley.settings",
    "TimerService": "baobabpulley.timers",
    "load_settings": "baobabpulley.settings",
}

__all__ = ["BaobabError", "Settings", "TimerService", "load_settings"]


def __getattr__(name: str) -> object:
    """Return an exported name from the module that defines it."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_MODULES[name]), name)
