"""Compression of the state that gateways send to each other.

A configuration of 1,600 routes that goes to eight gateways at once would otherwise keep the link of
the sender busy for half a second.
"""

from __future__ import annotations

import zlib
from typing import Final

from baobabpulley.adapters.http_client import MAX_WHOLE_BODY_BYTES
from baobabpulley.errors import UpstreamLost

# Content type of compressed MessagePack.
COMPRESSED_TYPE: Final = "application/zlib"
_FASTEST_COMPRESSION: Final = 1


def compress(data: bytes) -> bytes:
    """Compress what a gateway sends to others."""
    return zlib.compress(data, level=_FASTEST_COMPRESSION)


def decompress(data: bytes) -> bytes:
    """Return what a gateway sent; raise `UpstreamLost` if it is damaged or too long."""
    try:
        inflater = zlib.decompressobj()
        content = inflater.decompress(data, MAX_WHOLE_BODY_BYTES)
    except zlib.error as error:
        raise UpstreamLost(f"a gateway's state cannot be decompressed: {error}") from error
    if not inflater.eof:
        raise UpstreamLost(
            f"a gateway's state ends early or has more than {MAX_WHOLE_BODY_BYTES} bytes"
        )
    return content
