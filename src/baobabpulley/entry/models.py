"""``GET /v1/models``: the models that callers may request."""

from __future__ import annotations

from typing import final

from baobabpulley.entry.web import EntryHandler
from baobabpulley.entry.web import route


@route("/v1/models")
@final
class ModelsHandler(EntryHandler):
    """List the models in the format of the common completion API."""

    def get(self) -> None:
        self.authenticate()
        models = [
            {"id": name, "object": "model"}
            for name in sorted(self.context.view.settings_state.models)
        ]
        self.finish({"object": "list", "data": models})
