"""Builders of answers as raw bytes, which may be broken."""

from __future__ import annotations

from collections.abc import Sequence

from baobabpulley.platform import names

BODY = b"broken"
CHUNKED_BODY = b"6\r\nbroken\r\n0\r\n\r\n"
STATUS_LINE = b"HTTP/1.1 200 Answer"
OWN_LINES = (f"{names.ATTEMPT}: ATTEMPT".encode(), f"{names.SEAL}: s".encode())
LENGTH_LINE = b"Content-Length: %d" % len(BODY)


def answer(
    *, status_line: bytes = STATUS_LINE, lines: Sequence[bytes] = (LENGTH_LINE,), body: bytes = BODY
) -> bytes:
    """Return an answer with the id and the seal, in which ``ATTEMPT`` stands for the id."""
    return b"\r\n".join((status_line, *OWN_LINES, *lines, b"", body))


def status(text: bytes) -> bytes:
    """Return an answer with a status."""
    return answer(status_line=b"HTTP/1.1 %s Answer" % text)


def line(text: bytes) -> bytes:
    """Return an answer with a line in front of its length."""
    return answer(lines=(text, LENGTH_LINE))


def chunked(body: bytes) -> bytes:
    """Return an answer with a body in chunks."""
    return answer(lines=(b"Transfer-Encoding: chunked",), body=body)
