"""``GET /v1/explain/<request id>``: the decisions of this entry on a request, with reasons."""

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
    """Return the decision record of a request to fleet tools and its team's operators."""

    def get(self, request_id: str) -> None:
        team = visible_team(self)
        record = self.context.decisions.find(request_id)
        # A request of another team gets the same response as an unknown one.
        if record is None or team not in (None, record.team):
            raise NotFound("this entry has no record of the request")
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(record))
