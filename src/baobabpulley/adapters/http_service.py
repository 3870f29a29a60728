"""HTTP client for plain services."""

from __future__ import annotations

from typing import final

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_engine import parse_upstream_error
from baobabpulley.adapters.retry_after import parse_retry_after
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamRefused
from baobabpulley.model.upstreams import Upstream
from baobabpulley.ports.plain_service import PlainService
from baobabpulley.ports.plain_service import ServiceCall
from baobabpulley.ports.plain_service import ServiceResponse
from baobabpulley.timers import TimerService

ATTEMPT_HEADER = "X-Attempt-Id"


@final
class HttpPlainService(PlainService):
    """Call services, each time on a new connection.

    On a reused connection that the service has closed, a call fails without it being known
    whether it ran.
    """

    __slots__ = ("_client", "_timers")

    def __init__(self, *, client: HttpClient, timers: TimerService) -> None:
        self._client = client
        self._timers = timers

    async def call(self, upstream: Upstream, call: ServiceCall) -> ServiceResponse:
        timeout = self._timers.to_real_seconds(call.deadline)
        async with self._client.call(
            address=upstream.address,
            method=call.method,
            path=call.path,
            body=call.body,
            headers={
                "Content-Type": call.content_type,
                ATTEMPT_HEADER: call.attempt,
                "X-Team": call.team,
            },
            head_timeout=timeout,
            fresh=True,
        ) as response:
            asked_pause = parse_retry_after(response.status, response.headers)
            try:
                body = await response.body(idle_timeout=timeout)
            except UpstreamLost as error:
                if asked_pause is None:
                    raise
                # What the head asked for holds, whatever becomes of the body.
                raise UpstreamLost(error.message, asked_pause=asked_pause) from error
            if response.status == 503:
                error = parse_upstream_error(upstream.id, body, asked_pause=asked_pause)
                if isinstance(error, UpstreamRefused):
                    raise error
            content_type = response.headers.get("Content-Type", "application/json")
            return ServiceResponse(
                status=response.status,
                body=body,
                content_type=content_type,
                asked_pause=asked_pause,
            )
