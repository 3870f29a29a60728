"""Names on the platform's wire: headers, paths, keys and words."""

from __future__ import annotations

from typing import Final

# Headers of requests and answers.
ATTEMPT: Final = "X-Attempt-Identifier"
REMAINING_MS: Final = "X-Remaining-Milliseconds"
LAST_EVENT: Final = "Last-Event-Id"
SEAL: Final = "X-Response-Seal"
ACCOUNT: Final = "X-Tenant"
EXPECTED_INSTANCE: Final = "X-Expected-Instance"
NOT_EXECUTED: Final = "X-Not-Executed"
AT_SERVER: Final = "At-Server"
TOKEN_COUNTS: Final = "X-Token-Counts"
URGENCY: Final = "X-Request-Urgency"
HELPERS: Final = "X-Helpers"
AUTHORIZATION: Final = "Authorization"
KEY_SCHEME: Final = "Bearer"

# Paths of calls.
READINESS: Final = "/baobabpulley/readiness"
ORDER: Final = "/baobabpulley/order"
STORE_KEY: Final = "/baobabpulley/kv-key"
STORE_RANGE: Final = "/baobabpulley/kv-range"
STORE_WATCH: Final = "/baobabpulley/kv-watch"
STORE_TXN: Final = "/baobabpulley/kv-txn"
STORE_LEASE: Final = "/baobabpulley/kv-lease"
STORE_KEEP_ALIVE: Final = "/baobabpulley/kv-keep/"
STORE_LEASE_END: Final = "/baobabpulley/kv-lease-end/"

# Keys of the store. The operator and the upstreams write the first two, we write the last.
CONFIGURATION_KEY: Final = "op/config"
UPSTREAM_PREFIX: Final = "servers/"
MEMBER_PREFIX: Final = "members/"

# Words.
KIND_IDEMPOTENT: Final = "idempotent"
KIND_ONCE: Final = "non_idempotent"
KIND_STREAM: Final = "streaming"
STATE_READY: Final = "ready"
STATE_DRAINING: Final = "draining"
