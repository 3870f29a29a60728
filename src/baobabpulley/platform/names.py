"""Names that the platform defines: HTTP headers, paths, store keys and enumeration values."""

from __future__ import annotations

from typing import Final

# Headers of requests and responses.
ATTEMPT: Final = "X-Attempt-Identifier"
REMAINING_MS: Final = "X-Remaining-Milliseconds"
LAST_EVENT: Final = "Last-Event-Id"
SEAL: Final = "X-Response-Seal"
ACCOUNT: Final = "X-Tenant"
EXPECTED_INSTANCE: Final = "X-Expected-Instance"
NOT_EXECUTED: Final = "X-Not-Executed"
AT_SERVER: Final = "At-Server"
LEAVING: Final = "Server-Leaving"
COLD_MS: Final = "X-Cold-Milliseconds"
TOKEN_COUNTS: Final = "X-Token-Counts"
PROMPT_PREFIX: Final = "X-Prompt-Prefix"
URGENCY: Final = "X-Request-Urgency"
HELPERS: Final = "X-Helpers"
# How often the store has come back from a copy; in all its answers.
STORE_ERA: Final = "Store-Era"
AUTHORIZATION: Final = "Authorization"
KEY_SCHEME: Final = "Bearer"

# HTTP paths.
READINESS: Final = "/baobabpulley/readiness"
ORDER: Final = "/baobabpulley/order"
STORE_KEY: Final = "/baobabpulley/kv-key"
STORE_RANGE: Final = "/baobabpulley/kv-range"
STORE_WATCH: Final = "/baobabpulley/kv-watch"
STORE_TXN: Final = "/baobabpulley/kv-txn"
STORE_LEASE: Final = "/baobabpulley/kv-lease"
STORE_KEEP_ALIVE: Final = "/baobabpulley/kv-keep/"
STORE_LEASE_END: Final = "/baobabpulley/kv-lease-end/"

# Store keys: written by the operators, the upstreams and the gateways, in this order.
CONFIGURATION_KEY: Final = "op/config"
UPSTREAM_PREFIX: Final = "servers/"
MEMBER_PREFIX: Final = "members/"
# Written by the operators, too; the name of a failure domain follows.
EVACUATION_PREFIX: Final = "op/evacuate/"

# Values of a route's kind and of an upstream's state.
KIND_IDEMPOTENT: Final = "idempotent"
KIND_ONCE: Final = "non_idempotent"
KIND_STREAM: Final = "streaming"
STATE_READY: Final = "ready"
STATE_DRAINING: Final = "draining"
