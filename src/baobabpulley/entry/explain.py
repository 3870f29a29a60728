"""``GET /v1/explain/<request id>``: what this entry decided for a request, and why."""

from __future__ import annotations

from typing import final

import msgspec

from baobabpulley.entry.credentials import visible_team
from baobabpulley.entry.web import EntryHandler
from baobabpulley.entry.web import route
from baobabpulley.errors import NotFound


@route(r"/v1/explain/(.+)")
@final
class ExplainHandler(EntryHandler):
    """The decision record of one request, for the fleet's tools and its own team's operators."""

    def get(self, request_id: str) -> None:
        team = visible_team(self)
        record = self.context.decisions.find(request_id)
        # Another team's request is answered like one that is not known.
        if record is None or team not in (None, record.team):
            raise NotFound("no record of this request is kept here")
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(record))
