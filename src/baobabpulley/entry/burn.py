"""``GET /v1/burn``: this entry's counts for the service-level burn report."""

from __future__ import annotations

from typing import final

import msgspec

from baobabpulley.entry.credentials import visible_team
from baobabpulley.entry.web import EntryHandler
from baobabpulley.entry.web import route


@route("/v1/burn")
@final
class BurnHandler(EntryHandler):
    """Return the counts of all teams to fleet tools, those of one team to its operators."""

    def get(self) -> None:
        team = visible_team(self)
        context = self.context
        document = context.burn.describe(entry=context.node.id, now=context.timers.now(), team=team)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(document))
