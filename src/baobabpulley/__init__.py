"""Serving layer for prompts of widely differing lengths on one small fleet of model engines."""

from __future__ import annotations

from baobabpulley.errors import BaobabError
from baobabpulley.settings import Settings
from baobabpulley.settings import load_settings
from baobabpulley.timers import TimerService

__all__ = ["BaobabError", "Settings", "TimerService", "load_settings"]
