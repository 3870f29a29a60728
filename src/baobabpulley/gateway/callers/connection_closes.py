"""Log and count the closes of callers' connections that end a request without a whole answer."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import final

from loguru import logger
from tornado.httputil import HTTPHeaders

from baobabpulley.gateway.callers.replies import Reply


class CloseReason(StrEnum):
    """Why a connection ends before its request has been read or its answer has been sent whole."""

    # The caller closed its connection, or it broke.
    CALLER_CLOSED = "caller_closed"
    CONNECTION_BROKEN = "connection_broken"
    # The gateway answered before it had read the whole request: too large, too slow or malformed.
    REFUSED_UNREAD = "refused_unread"
    MALFORMED = "malformed"
    # The gateway cut an answer that it could not complete, or had no answer.
    RESPONSE_ABORTED = "response_aborted"
    NO_RESPONSE = "no_response"
    # Memory or descriptors were short.
    MEMORY_SHORT = "memory_short"
    # The gateway ran out of time to shut down.
    SHUTDOWN = "shutdown"


@final
class ConnectionCloses:
    """Record closes; ``identify`` returns the id of a request from its headers."""

    __slots__ = ("_count", "_identify")

    def __init__(
        self,
        *,
        identify: Callable[[HTTPHeaders], str | None],
        count: Callable[[CloseReason], None],
    ) -> None:
        self._identify = identify
        self._count = count

    def record(
        self,
        reason: CloseReason,
        *,
        headers: HTTPHeaders,
        reply: Reply,
        received: int,
        seconds: float,
    ) -> None:
        """Log and count one close.

        ``received`` is the number of bytes of the body that have been read, ``seconds`` the time
        since the request's head arrived.
        """
        self._count(reason)
        logger.bind(
            event="connection_closed",
            request=self._identify(headers),
            reason=str(reason),
            status=reply.status,
            started=reply.started,
            finished=reply.finished and not reply.aborted,
            received=received,
            seconds=round(seconds, 4),
        ).info("connection closed: {}", reason)
