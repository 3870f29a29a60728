"""Typed errors of the system.

Each error class has a stable ``code`` and an HTTP ``status``. ``ran`` says whether the request
was executed: ``False`` if it certainly was not, ``True`` if it was, ``None`` if that is unknown.
``remedy`` is the suggested next step for the recipient of the error.
"""

from __future__ import annotations

from baobabpulley.errors.base import EXIT_BAD_SETTINGS
from baobabpulley.errors.base import EXIT_FAILED
from baobabpulley.errors.base import EXIT_OK
from baobabpulley.errors.base import BaobabError
from baobabpulley.errors.base import errors_by_code
from baobabpulley.errors.control import ChangeOutcomeUnknown
from baobabpulley.errors.control import CommitmentRefused
from baobabpulley.errors.control import Conflict
from baobabpulley.errors.control import InvalidDocument
from baobabpulley.errors.control import InvalidSettings
from baobabpulley.errors.control import LimitLowered
from baobabpulley.errors.control import MessageRejected
from baobabpulley.errors.control import PeerLeaving
from baobabpulley.errors.control import PeerUnavailable
from baobabpulley.errors.control import StoreCompacted
from baobabpulley.errors.control import StoreResponseLost
from baobabpulley.errors.control import StoreUnavailable
from baobabpulley.errors.control import UnknownName
from baobabpulley.errors.requests import AllEvacuated
from baobabpulley.errors.requests import BadRequest
from baobabpulley.errors.requests import BadToken
from baobabpulley.errors.requests import BodyTooLarge
from baobabpulley.errors.requests import BodyTooSlow
from baobabpulley.errors.requests import CallMismatch
from baobabpulley.errors.requests import DeadlineBeforeStart
from baobabpulley.errors.requests import DeadlineExceeded
from baobabpulley.errors.requests import Forbidden
from baobabpulley.errors.requests import HeaderTooLarge
from baobabpulley.errors.requests import HeaderTooSlow
from baobabpulley.errors.requests import MemoryShort
from baobabpulley.errors.requests import MethodNotAllowed
from baobabpulley.errors.requests import NotFound
from baobabpulley.errors.requests import NotReady
from baobabpulley.errors.requests import NoUpstream
from baobabpulley.errors.requests import OutcomeExpired
from baobabpulley.errors.requests import OutcomeUnknown
from baobabpulley.errors.requests import Overloaded
from baobabpulley.errors.requests import PromptQuarantined
from baobabpulley.errors.requests import PromptTooLong
from baobabpulley.errors.requests import TeamLimitReached
from baobabpulley.errors.requests import TicketInvalid
from baobabpulley.errors.requests import TicketIssuerUnavailable
from baobabpulley.errors.requests import TooFewEngines
from baobabpulley.errors.requests import UnknownModel
from baobabpulley.errors.upstreams import MismatchedResponse
from baobabpulley.errors.upstreams import NoPathToUpstream
from baobabpulley.errors.upstreams import OrderTooLate
from baobabpulley.errors.upstreams import RetryLoanExpired
from baobabpulley.errors.upstreams import UpstreamBackpressure
from baobabpulley.errors.upstreams import UpstreamDisconnected
from baobabpulley.errors.upstreams import UpstreamEvacuated
from baobabpulley.errors.upstreams import UpstreamFailed
from baobabpulley.errors.upstreams import UpstreamImportFailed
from baobabpulley.errors.upstreams import UpstreamLeaving
from baobabpulley.errors.upstreams import UpstreamLost
from baobabpulley.errors.upstreams import UpstreamModelMissing
from baobabpulley.errors.upstreams import UpstreamOutOfMemory
from baobabpulley.errors.upstreams import UpstreamOverloaded
from baobabpulley.errors.upstreams import UpstreamRefused
from baobabpulley.errors.upstreams import UpstreamReserved
from baobabpulley.errors.upstreams import UpstreamSkipped
from baobabpulley.errors.upstreams import UpstreamStalled
from baobabpulley.errors.upstreams import UpstreamUnreachable

__all__ = [
    "EXIT_BAD_SETTINGS",
    "EXIT_FAILED",
    "EXIT_OK",
    "AllEvacuated",
    "BadRequest",
    "BadToken",
    "BaobabError",
    "BodyTooLarge",
    "BodyTooSlow",
    "CallMismatch",
    "ChangeOutcomeUnknown",
    "CommitmentRefused",
    "Conflict",
    "DeadlineBeforeStart",
    "DeadlineExceeded",
    "Forbidden",
    "HeaderTooLarge",
    "HeaderTooSlow",
    "InvalidDocument",
    "InvalidSettings",
    "LimitLowered",
    "MemoryShort",
    "MessageRejected",
    "MethodNotAllowed",
    "MismatchedResponse",
    "NoPathToUpstream",
    "NoUpstream",
    "NotFound",
    "NotReady",
    "OrderTooLate",
    "OutcomeExpired",
    "OutcomeUnknown",
    "Overloaded",
    "PeerLeaving",
    "PeerUnavailable",
    "PromptQuarantined",
    "PromptTooLong",
    "RetryLoanExpired",
    "StoreCompacted",
    "StoreResponseLost",
    "StoreUnavailable",
    "TeamLimitReached",
    "TicketInvalid",
    "TicketIssuerUnavailable",
    "TooFewEngines",
    "UnknownModel",
    "UnknownName",
    "UpstreamBackpressure",
    "UpstreamDisconnected",
    "UpstreamEvacuated",
    "UpstreamFailed",
    "UpstreamImportFailed",
    "UpstreamLeaving",
    "UpstreamLost",
    "UpstreamModelMissing",
    "UpstreamOutOfMemory",
    "UpstreamOverloaded",
    "UpstreamRefused",
    "UpstreamReserved",
    "UpstreamSkipped",
    "UpstreamStalled",
    "UpstreamUnreachable",
    "errors_by_code",
]
