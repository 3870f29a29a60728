"""HTTP headers of callers' requests and upstreams' responses."""

from __future__ import annotations

from typing import Final
from typing import final

from tornado.httputil import HTTPHeaders
from xxhash import xxh3_64_hexdigest

from baobabpulley.adapters.retry_after import parse_retry_after
from baobabpulley.errors import BadRequest
from baobabpulley.model.exchanges import MAX_LOGGED_ID_CHARS
from baobabpulley.model.exchanges import AttemptParameters
from baobabpulley.model.exchanges import HelperEngine
from baobabpulley.model.exchanges import RequestParameters
from baobabpulley.platform import names
from baobabpulley.ports.exchange_wire import ExchangeWire
from baobabpulley.ports.exchange_wire import ResponseHead

_MS_PER_SECOND: Final = 1000
# Ids of prompt parts are kept in memory: longer ones are hashed, parts beyond this number left out.
_MAX_PART_ID_LENGTH: Final = 24
_MAX_SHARED_PARTS: Final = 64
# Another instance than the expected one received the request.
_MISDIRECTED_STATUS: Final = 421
# A number with more digits counts nothing, and Python may refuse to convert it.
_MAX_COUNT_DIGITS: Final = 18
# Value of a header that states a fact.
_YES: Final = "1"

# Headers that apply to a single connection and aren't forwarded.
_HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Request headers that only the gateway sets; the caller's values are discarded.
_SET_BY_GATEWAY: Final = frozenset(
    name.lower()
    for name in (
        names.ACCOUNT,
        names.AUTHORIZATION,
        names.EXPECTED_INSTANCE,
        names.HELPERS,
        names.LAST_EVENT,
        names.REMAINING_MS,
        names.URGENCY,
    )
)


@final
class PlatformWire(ExchangeWire):
    """Translation of the platform's headers."""

    __slots__ = ()

    def request_id(self, headers: HTTPHeaders) -> str | None:
        attempt = headers.get(names.ATTEMPT)
        return None if attempt is None else attempt[:MAX_LOGGED_ID_CHARS]

    def parse_request_headers(self, headers: HTTPHeaders) -> RequestParameters:
        attempt = headers.get(names.ATTEMPT, "")
        if not attempt or "," in attempt:
            raise BadRequest(
                f"{names.ATTEMPT} is missing or holds more than one id",
                remedy="Send one id for each attempt.",
            )
        prompt_tokens, max_output_tokens = _parse_token_counts(headers.get(names.TOKEN_COUNTS))
        return RequestParameters(
            attempt=attempt,
            key=_parse_api_key(headers.get(names.AUTHORIZATION)),
            remaining=_parse_milliseconds(headers.get(names.REMAINING_MS)),
            last_event=headers.get(names.LAST_EVENT),
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
            shared_parts=_parse_shared_parts(headers.get(names.PROMPT_PREFIX)),
        )

    def request_headers(self, received: HTTPHeaders, outgoing: AttemptParameters) -> HTTPHeaders:
        headers = _end_to_end_headers(received, without=_SET_BY_GATEWAY)
        headers[names.REMAINING_MS] = str(int(outgoing.remaining * _MS_PER_SECOND))
        headers[names.EXPECTED_INSTANCE] = outgoing.instance
        if outgoing.account is not None:
            headers[names.ACCOUNT] = outgoing.account
        if outgoing.last_event is not None:
            headers[names.LAST_EVENT] = outgoing.last_event
        if outgoing.urgency is not None:
            headers[names.URGENCY] = str(outgoing.urgency)
        if outgoing.helpers:
            headers[names.HELPERS] = ",".join(map(_format_helper, outgoing.helpers))
        return headers

    def response_headers(self, received: HTTPHeaders) -> HTTPHeaders:
        return _end_to_end_headers(received, without=frozenset())

    def parse_response_head(self, status: int, headers: HTTPHeaders) -> ResponseHead:
        return ResponseHead(
            status=status,
            attempt=headers.get(names.ATTEMPT) or None,
            sealed=names.SEAL in headers,
            not_run=names.NOT_EXECUTED in headers or status == _MISDIRECTED_STATUS,
            at_fault=headers.get(names.AT_SERVER),
            misdirected=status == _MISDIRECTED_STATUS,
            retry_after=parse_retry_after(status, headers),
            leaving=headers.get(names.LEAVING, "").strip() == _YES,
            cold_seconds=_parse_milliseconds(headers.get(names.COLD_MS)),
        )


def _end_to_end_headers(received: HTTPHeaders, *, without: frozenset[str]) -> HTTPHeaders:
    connection_specific = {
        token.strip().lower() for token in received.get("Connection", "").split(",")
    }
    headers = HTTPHeaders()
    for name, value in received.get_all():
        lowered = name.lower()
        if (
            lowered not in _HOP_BY_HOP
            and lowered not in without
            and lowered not in connection_specific
        ):
            headers.add(name, value)
    return headers


def _parse_api_key(authorization: str | None) -> str | None:
    scheme, _, key = (authorization or "").partition(" ")
    return key.strip() if scheme.lower() == names.KEY_SCHEME.lower() and key.strip() else None


def _parse_milliseconds(text: str | None) -> float | None:
    """Return a header's milliseconds as seconds, or ``None`` if it isn't a number.

    >>> _parse_milliseconds("1500"), _parse_milliseconds("soon"), _parse_milliseconds(None)
    (1.5, None, None)
    """
    try:
        value = float(text or "")
    except ValueError:
        return None
    return max(0.0, value) / _MS_PER_SECOND if value == value else None


def _parse_token_counts(text: str | None) -> tuple[int, int]:
    """Return the number of prompt tokens and the maximum number of output tokens; 0 if unknown.

    >>> _parse_token_counts("1460,80"), _parse_token_counts("many"), _parse_token_counts(None)
    ((1460, 80), (0, 0), (0, 0))
    """
    prompt, _, output = (text or "").partition(",")
    prompt, output = prompt.strip(), output.strip()
    if not (_is_count(prompt) and _is_count(output)):
        return 0, 0
    return int(prompt), int(output)


def _is_count(text: str) -> bool:
    return text.isdecimal() and len(text) <= _MAX_COUNT_DIGITS


def _parse_shared_parts(text: str | None) -> tuple[str, ...]:
    """Return the ids of a prompt's parts without the last one, which is its own.

    >>> _parse_shared_parts("5c1e:800,91bd:410,e440:250"), _parse_shared_parts("e440:250")
    (('5c1e', '91bd'), ())
    """
    parts = (text or "").split(",")[:-1][:_MAX_SHARED_PARTS]
    ids = (part.partition(":")[0].strip().lower() for part in parts)
    return tuple(_shortened(id) for id in ids if id)


def _shortened(id: str) -> str:
    return id if len(id) <= _MAX_PART_ID_LENGTH else xxh3_64_hexdigest(id.encode())


def _format_helper(helper: HelperEngine) -> str:
    return helper.address if helper.ticket is None else f"{helper.address}/{helper.ticket}"
