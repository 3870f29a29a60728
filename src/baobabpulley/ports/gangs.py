"""Interface for prompts that need the memory of more than one engine.

The engines that serve such a prompt together are its gang.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import AsyncIterator

from baobabpulley.model.decisions import DecisionRecord
from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.requests import CompletionRequest


class GangRunner(ABC):
    """Run a request on several engines of this failure domain."""

    @abstractmethod
    def run(
        self, request: CompletionRequest, record: DecisionRecord
    ) -> AsyncIterator[CompletionEvent]:
        """Yield the completion, each token once, or raise a typed error by the deadline."""
