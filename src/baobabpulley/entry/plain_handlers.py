"""HTTP handler of calls to plain services: ``/services/<service>/<path>``."""

from __future__ import annotations

from typing import Final
from typing import final

from tornado.iostream import StreamClosedError
from tornado.web import stream_request_body

from baobabpulley.entry.claims import IDEMPOTENCY_HEADER
from baobabpulley.entry.service_caller import ServicesSection
from baobabpulley.entry.tickets import TICKET_HEADER
from baobabpulley.entry.web import REQUEST_ID_HEADER
from baobabpulley.entry.web import StreamedBodyHandler
from baobabpulley.entry.web import route
from baobabpulley.errors import BadRequest
from baobabpulley.errors import BaobabError
from baobabpulley.errors import NotFound
from baobabpulley.model.calls import PlainCall
from baobabpulley.policy.service_routes import find_route
from baobabpulley.ports.plain_service import ServiceResponse

METHODS: Final = ("GET", "POST", "PUT", "PATCH", "DELETE")


@route(r"/services/([a-z0-9][a-z0-9._-]*)(/.*)")
@stream_request_body
@final
class ServiceHandler(StreamedBodyHandler):
    """Run one call to a plain service."""

    SUPPORTED_METHODS = METHODS  # type: ignore[assignment]

    def prepare(self) -> None:
        section = self.context.settings.get(ServicesSection)
        self.expect_body(max_bytes=section.max_body_bytes, timeout=section.body_timeout)
        self.check_accepting()
        self._team = self.authenticate()
        self._log_fields["team"] = self._team

    async def _serve(self, service: str, path: str) -> None:
        if self._finished:
            return
        body = self.whole_body
        self.context.lifecycle.begin()
        record = self.context.decisions.open(request_id=self.request_id, team=self._team)
        record.lane = "service"
        try:
            response = await self._run(service, path, body)
            record.outcome = "ok"
            await self._reply(response)
        except BaobabError as error:
            record.outcome = error.code
            self.finish_with_error(error)
        except StreamClosedError:
            record.outcome = "client_gone"
        finally:
            labels = {"team": self._team, "outcome": record.outcome}
            self.context.metrics.requests.labels(**labels).inc()
            self.context.lifecycle.end()

    get = post = put = patch = delete = _serve

    async def _run(self, service: str, path: str, body: bytes) -> ServiceResponse:
        document = self.context.view.settings_state.services.get(service)
        if document is None or document.kind != "plain":
            raise NotFound(f"unknown plain service {service!r}")
        query = f"?{self.request.query}" if self.request.query else ""
        call = PlainCall(
            service=service,
            team=self._team,
            method=str(self.request.method),
            path=path + query,
            body=body,
            content_type=self.request.headers.get("Content-Type", "application/json"),
        )
        matched_route = find_route(document, service=service, method=call.method, path=call.path)
        if matched_route.idempotent:
            return await self.context.services.run_idempotent(call)
        return await self._run_once(call)

    async def _run_once(self, call: PlainCall) -> ServiceResponse:
        ticket = self.request.headers.get(TICKET_HEADER)
        key = self.request.headers.get(IDEMPOTENCY_HEADER)
        if ticket and key:
            raise BadRequest(f"send {TICKET_HEADER} or {IDEMPOTENCY_HEADER}, not both")
        if ticket:
            return await self.context.tickets.run(ticket, call)
        if key:
            return await self.context.claims.run(key, call)
        return await self.context.services.run_once(call)

    async def _reply(self, response: ServiceResponse) -> None:
        self.set_status(response.status)
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        self.set_header("Content-Type", response.content_type)
        await self.finish(response.body)
