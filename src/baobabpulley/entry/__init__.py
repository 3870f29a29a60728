"""The entry daemon: callers' and operators' HTTP, one task per connection."""

from __future__ import annotations
