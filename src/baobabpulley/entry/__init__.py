"""The entry daemon: the HTTP APIs for callers and operators, with one task per connection."""

from __future__ import annotations
