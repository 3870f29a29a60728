"""Prompts that need the memory of more than one engine."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import AsyncIterator

from baobabpulley.model.decisions import DecisionRecord
from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.requests import CompletionRequest


class GangRunner(ABC):
    """Run a request over several engines of this failure domain."""

    @abstractmethod
    def run(
        self, request: CompletionRequest, record: DecisionRecord
    ) -> AsyncIterator[CompletionEvent]:
        """Yield the answer, each token once, or raise a typed error by the deadline."""
