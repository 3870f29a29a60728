"""Tests of data from other processes that is nested deeper than a decoder follows."""

from __future__ import annotations

import pytest
from test_gossip import GossipNode
from test_gossip import free_port

from baobabpulley.adapters.http_engine import parse_upstream_error
from baobabpulley.entry.operators import decode_body
from baobabpulley.errors import BadRequest
from baobabpulley.errors import StoreUnavailable
from baobabpulley.model.log_lines import read_log_lines
from baobabpulley.platform import store

JSON = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
MESSAGE_PACK = b"\x91" * 60_000 + b"\x01"


def test_an_engines_error_document() -> None:
    assert "invalid" in parse_upstream_error("i-1", JSON).message


def test_an_operators_request() -> None:
    with pytest.raises(BadRequest):
        decode_body(JSON, dict)


def test_a_log_line() -> None:
    assert list(read_log_lines([JSON.decode()])) == []


def test_a_response_of_the_store() -> None:
    with pytest.raises(StoreUnavailable):
        store._decode(JSON, store._Changes)


def test_a_datagram() -> None:
    node = GossipNode("127.0.0.1", free_port())
    node.gossip.datagram_received(b"\x81\xa1x" + MESSAGE_PACK, ("127.0.0.2", 1))
    assert node.gossip.peers == {}
