"""The example settings profiles in examples/."""

from __future__ import annotations

from pathlib import Path

import pytest

from baobabpulley.entry.daemon import build_entry
from baobabpulley.policy.routing import RoutingSection
from baobabpulley.settings import load_settings

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("name", ["atlas", "malabar"])
async def test_profile_is_valid_and_builds_an_entry(name: str) -> None:
    context = build_entry(load_settings(EXAMPLES / f"{name}.ini", daemon="entry"))
    context.peers.close()
    context.timers.cancel_all()


def test_malabar_weighs_nearby_long_prompts_more_than_atlas() -> None:
    atlas, malabar = (
        load_settings(EXAMPLES / f"{name}.ini", daemon="entry").get(RoutingSection)
        for name in ("atlas", "malabar")
    )
    assert malabar.beside_long_tokens > atlas.beside_long_tokens
