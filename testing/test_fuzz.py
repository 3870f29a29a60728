"""Decoders of untrusted bytes raise only their own typed errors, whatever the input."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Final

import msgspec
import pytest
from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from baobabpulley.adapters.envelope import Sealer
from baobabpulley.adapters.events import read_events
from baobabpulley.adapters.http_engine import parse_upstream_error
from baobabpulley.adapters.signing import Signer
from baobabpulley.entry.callers import CompletionBody
from baobabpulley.errors import BadRequest
from baobabpulley.errors import Forbidden
from baobabpulley.errors import InvalidDocument
from baobabpulley.errors import InvalidSettings
from baobabpulley.errors import MessageRejected
from baobabpulley.errors import NotFound
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamRefused
from baobabpulley.model.calls import Ticket
from baobabpulley.model.documents import AccessDocument
from baobabpulley.model.documents import CommitmentsDocument
from baobabpulley.model.documents import LimitDocument
from baobabpulley.model.documents import ModelDocument
from baobabpulley.model.documents import ServiceDocument
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.documents import decode_document
from baobabpulley.model.documents import encode_document
from baobabpulley.policy.service_routes import find_route
from baobabpulley.settings import load_settings

SECRET: Final = "a-secret-for-tests-only"
DOCUMENTS: Final = (
    LimitDocument,
    AccessDocument,
    ServiceDocument,
    ModelDocument,
    CommitmentsDocument,
)

FIELDS: Final = ("limit", "prompt", "model", "max_tokens", "kind", "routes", "teams", "error")
INI_TEXTS: Final = ("[node]\nid=%(x)s", "[node", "id=1", "[node]\nid")
EVENT_PIECES: Final = (b"data: {}\n\n", b"\n\n", b": x\n\n")

fuzzed = settings(
    derandomize=True,
    max_examples=200,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
json_like = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda children: st.lists(children, max_size=4)
    | st.dictionaries(
        st.sampled_from(
            ["limit", "prompt", "model", "max_tokens", "kind", "routes", "teams", "error"]
        ),
        children,
        max_size=4,
    ),
    max_leaves=8,
)


@fuzzed
@given(data=st.binary(max_size=300))
def test_envelope_rejects_any_bytes(data: bytes) -> None:
    sealer = Sealer(sender="vm-0", secret=SECRET, max_bytes=256, max_skew=30.0)
    with pytest.raises(MessageRejected):
        sealer.open(data, receiver="127.0.0.1:1")


@fuzzed
@given(token=st.text(max_size=200) | st.binary(max_size=100).map(lambda data: data.hex()))
def test_signed_token_rejects_any_text(token: str) -> None:
    with pytest.raises(Forbidden):
        Signer(secret=SECRET, kind="call-ticket", struct=Ticket).open(token)


@fuzzed
@given(body=json_like)
def test_completion_body_is_checked_or_refused(body: object) -> None:
    with contextlib.suppress(msgspec.DecodeError):
        decoded = msgspec.json.decode(msgspec.json.encode(body), type=CompletionBody)
        assert decoded.prompt
        assert decoded.max_tokens >= 1


@fuzzed
@given(value=json_like.map(msgspec.json.encode) | st.binary(max_size=64))
@pytest.mark.parametrize("kind", DOCUMENTS, ids=lambda kind: kind.__name__)
def test_stored_document_is_checked_or_refused(kind: type[msgspec.Struct], value: bytes) -> None:
    entry = StoredEntry(key="/baobab/x", value=value, mod_revision=7)
    try:
        decoded = decode_document(entry, kind)
    except InvalidDocument as error:
        assert "/baobab/x at revision 7" in error.message
    else:
        assert msgspec.json.decode(encode_document(decoded), type=kind) == decoded


@fuzzed
@given(body=json_like.map(msgspec.json.encode) | st.binary(max_size=64))
def test_engine_error_becomes_a_typed_one(body: bytes) -> None:
    error = parse_upstream_error("engine-0", body)
    assert isinstance(error, (UpstreamLost, UpstreamRefused))
    # An attempt counts as not run only if the engine says so.
    assert error.ran is None or b'"ran":false' in body


@fuzzed
@given(path=st.text(max_size=60))
def test_path_of_a_service_call_has_a_route_or_is_refused(path: str) -> None:
    with pytest.raises((NotFound, BadRequest)):
        find_route(ServiceDocument(kind="plain"), service="ledger", method="GET", path=f"/{path}")


@fuzzed
@given(text=st.text(max_size=120) | st.sampled_from(INI_TEXTS))
def test_settings_file_is_checked_or_refused(tmp_path: Path, text: str) -> None:
    path = tmp_path / "entry.ini"
    path.write_text(text, encoding="utf-8", errors="surrogatepass", newline="")
    with pytest.raises(InvalidSettings):
        load_settings(path, daemon="entry")


@settings(derandomize=True, max_examples=100, deadline=None, database=None)
@given(pieces=st.lists(st.binary(max_size=40) | st.sampled_from(EVENT_PIECES)))
async def test_events_do_not_depend_on_how_bytes_are_chunked(pieces: list[bytes]) -> None:
    whole = b"".join(pieces)
    assert await events([whole]) == await events([bytes([byte]) for byte in whole])


async def events(chunks: list[bytes]) -> list[bytes]:
    async def byte_stream() -> AsyncIterator[bytes]:
        for chunk in chunks:
            yield chunk

    return [event async for event in read_events(byte_stream())]
