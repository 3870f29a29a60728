"""``POST /v1/completions/resume``: the rest of a completion whose entry was lost."""

from __future__ import annotations

from typing import Annotated
from typing import final

import msgspec
from tornado.web import stream_request_body

from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.entry.callers import CompletionHandler
from baobabpulley.entry.web import route
from baobabpulley.errors import BadRequest
from baobabpulley.errors import DeadlineBeforeStart
from baobabpulley.model.decisions import DecisionRecord
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.requests import EndEvent
from baobabpulley.model.requests import Usage
from baobabpulley.model.requests import estimate_tokens


class ResumeBody(msgspec.Struct):
    """The JSON body of a resume request.

    The prompt is sent again; ``delivered`` is the text of the ``offset`` tokens received so far.
    """

    resume_token: str
    prompt: Annotated[str, msgspec.Meta(min_length=1)]
    delivered: str = ""
    offset: Annotated[int, msgspec.Meta(ge=0)] = 0
    stream: bool = True


_decoder = msgspec.json.Decoder(ResumeBody)


@route("/v1/completions/resume")
@stream_request_body
@final
class ResumeHandler(CompletionHandler):
    """Send the tokens that the caller does not have yet, each once."""

    def _parse(self) -> CompletionRequest:
        try:
            body = _decoder.decode(self.whole_body)
        except DECODE_ERRORS as error:
            raise BadRequest(f"invalid request body: {error}") from error
        tokens = self.context.resume_tokens
        grant = tokens.open(body.resume_token, team=self._team, prompt=body.prompt)
        if body.offset > grant.max_tokens or bool(body.offset) != bool(body.delivered):
            raise BadRequest(
                "offset exceeds max_tokens, or only one of offset and delivered is empty"
            )
        seconds_left = tokens.seconds_left(grant)
        if seconds_left <= 0:
            raise DeadlineBeforeStart("the deadline of the request has passed")
        now = self.context.timers.now()
        return CompletionRequest(
            request_id=grant.request_id,
            team=grant.team,
            model=grant.model,
            prompt=body.prompt,
            prompt_tokens=estimate_tokens(body.prompt),
            max_tokens=grant.max_tokens,
            seed=grant.seed,
            stream=body.stream,
            arrived=now,
            deadline=now + seconds_left,
            delivered=body.delivered,
            offset=body.offset,
        )

    async def _respond(self, request: CompletionRequest, record: DecisionRecord) -> None:
        if request.offset < request.max_tokens:
            await super()._respond(request, record)
            return
        # All tokens have been delivered; only the end event is missing.
        usage = Usage(prompt_tokens=request.prompt_tokens, completion_tokens=request.offset)
        await self._send_end(request, EndEvent(attempt="", reason="length", usage=usage), "")
