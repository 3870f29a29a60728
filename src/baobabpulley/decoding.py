"""Errors of decoding data that another process wrote."""

from __future__ import annotations

from typing import Final

import msgspec

# msgspec raises `RecursionError` for data that is nested too deep, whatever type is expected.
DECODE_ERRORS: Final = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
