"""Finish what is running when the process is told to stop."""

from __future__ import annotations

from typing import Final
from typing import final

from loguru import logger

from baobabpulley.gateway.callers.listener import CallerListener
from baobabpulley.gateway.exchanges.exchange_state import shutdown_error
from baobabpulley.gateway.sections import GatewayShutdownSection
from baobabpulley.gateway.shutdown_gate import ShutdownGate
from baobabpulley.gateway.tunnels.tunnel_server import TunnelServer
from baobabpulley.timers import TimerService

_POLL_SECONDS: Final = 0.05
# Requests that are unanswered after this fraction of the grace period are ended.
_GRACE_RATIO: Final = 0.95


@final
class GracefulShutdown:
    """The end of a gateway's work for callers, and for the callers of other gateways."""

    __slots__ = ("_gate", "_listener", "_timers", "_tunnels")

    def __init__(
        self,
        *,
        listener: CallerListener,
        tunnels: TunnelServer,
        gate: ShutdownGate,
        timers: TimerService,
    ) -> None:
        self._listener = listener
        self._tunnels = tunnels
        self._gate = gate
        self._timers = timers

    @property
    def _is_busy(self) -> bool:
        return self._listener.busy or self._tunnels.active > 0

    async def run(self, section: GatewayShutdownSection) -> None:
        """Stop accepting connections once the load balancer has noticed, then finish requests.

        Requests for which too little time is left are refused as they arrive or while they wait.
        Each connection is closed once it is idle: nothing of a request has arrived, and the answer
        before it has been handed to the kernel. Requests that are still unanswered near the end of
        the grace period are refused, or answered 502 if they may have run. Other gateways get no
        new tunnels, and the open ones have the same time.
        """
        listener = self._listener
        begun = self._timers.now()
        grace = _GRACE_RATIO * section.grace
        self._gate.begin(seconds=grace, lenient_seconds=section.lenient_admission)
        listener.draining = True
        logger.bind(event="stop", busy=listener.active_requests).info("draining")
        await self._timers.sleep(section.balancer_lag)
        listener.stop()
        listener.close_idle()
        while self._is_busy and self._timers.now() - begun < grace:
            await self._timers.sleep(_POLL_SECONDS)
            self._gate.refuse_late()
            listener.close_idle()
        if listener.busy:
            listener.refuse_all(shutdown_error(None))
            await self._timers.sleep(_POLL_SECONDS)
        listener.close_all()
        logger.bind(event="stopped", busy=listener.active_requests).info("gateway stopped")
