"""Checks that two parsers find the same in the head of an HTTP/1.1 message."""

from __future__ import annotations

import re
from typing import Final

from tornado.httputil import HTTPInputError

# Lengths beyond this are no sizes of bodies, and Python may refuse to convert them.
MAX_LENGTH_DIGITS: Final = 18

_BARE_LINE_END: Final = re.compile(rb"(?<!\r)\n|\r(?!\n)")


def check_line_ends(head: bytes) -> None:
    r"""Raise `HTTPInputError` if the bytes of a head hold an LF or CR outside CR LF.

    A parser that takes a bare LF for the end of a line may find other fields than its peer wrote,
    or the end of the head in the middle of it.

    >>> check_line_ends(b"HTTP/1.1 200 OK\r\n\r\n")
    >>> check_line_ends(b"HTTP/1.1 200 OK\r\n\nX-Note: 1\r\n\r\n")
    Traceback (most recent call last):
        ...
    tornado.httputil.HTTPInputError: a header line does not end with CR LF
    """
    if _BARE_LINE_END.search(head):
        raise HTTPInputError("a header line does not end with CR LF")


def check_length(text: str) -> None:
    """Raise `HTTPInputError` if the text of a ``Content-Length`` is no number of bytes.

    >>> check_length("42")
    >>> check_length("+42")
    Traceback (most recent call last):
        ...
    tornado.httputil.HTTPInputError: Content-Length is not a decimal number of at most 18 digits
    """
    if not (text.isdecimal() and len(text) <= MAX_LENGTH_DIGITS):
        raise HTTPInputError(
            f"Content-Length is not a decimal number of at most {MAX_LENGTH_DIGITS} digits"
        )
