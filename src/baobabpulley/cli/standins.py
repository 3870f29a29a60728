"""``baobabpulley standin``: the platform's services for tests, the demo and benches."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import click

from baobabpulley.adapters.addresses import split_address
from baobabpulley.cli.main import cli
from baobabpulley.shutdown import stop_event
from baobabpulley.standins.engine import EngineStandin
from baobabpulley.standins.engine_core import EngineProfile
from baobabpulley.standins.publisher import PublisherStandin
from baobabpulley.standins.service import ServiceStandin
from baobabpulley.standins.store import StoreStandin
from baobabpulley.standins.vm_list import VmListStandin
from baobabpulley.timers import TimerService

_address = click.option("--address", required=True, help="ip:port to listen on.")
_speed = click.option("--speed", default=1.0, help="Model seconds in a real second.")
_id = click.option("--id", "id_", required=True, help="Id in the VM list.")


class _Standin(Protocol):
    def start(self) -> None: ...


@cli.group()
def standin() -> None:
    """Run a stand-in for one of the platform's services."""


@standin.command()
@_address
@_speed
def store(address: str, speed: float) -> None:
    """Run the configuration store."""
    _run(lambda: StoreStandin(address=address, timers=TimerService(speed=speed)))


@standin.command()
@_address
@_speed
@click.option("--lag", default=5.0, help="Model seconds until a change of the list shows.")
def vms(address: str, speed: float, lag: float) -> None:
    """Run the VM list."""
    _run(lambda: VmListStandin(address=address, lag=lag, timers=TimerService(speed=speed)))


@standin.command()
@_id
@_address
@_speed
def service(id_: str, address: str, speed: float) -> None:
    """Run a plain service."""
    _run(lambda: ServiceStandin(id=id_, address=address, timers=TimerService(speed=speed)))


@standin.command()
@_id
@_address
@_speed
@click.option("--models", default="", help="Models loaded at the start, separated by commas.")
@click.option("--memory", default=400_000, help="KV memory in tokens.")
@click.option("--prefill-rate", default=20_000.0, help="Tokens a model second.")
@click.option("--decode-rate", default=50.0, help="Tokens a model second and stream.")
@click.option("--chunk", default=512, help="Prefill tokens between two looks at priorities.")
@click.option("--load-lag", default=0.5, help="Model seconds that load reports lag.")
@click.option("--ignores-fencing", is_flag=True, help="Take orders with old fencing numbers.")
@click.option("--credential", default="", help="Bearer token that orders must carry.")
@click.option("--seed", default=0, help="Seed of the gaps in cache events.")
def engine(
    id_: str,
    address: str,
    speed: float,
    models: str,
    memory: int,
    prefill_rate: float,
    decode_rate: float,
    chunk: int,
    load_lag: float,
    ignores_fencing: bool,
    credential: str,
    seed: int,
) -> None:
    """Run a model engine."""
    profile = EngineProfile(
        memory_tokens=memory,
        prefill_rate=prefill_rate,
        decode_rate=decode_rate,
        chunk_tokens=chunk,
        load_lag=load_lag,
        checks_fencing=not ignores_fencing,
        credential=credential,
        seed=seed,
    )
    _run(
        lambda: EngineStandin(
            id=id_,
            address=address,
            models=tuple(name for name in models.split(",") if name),
            profile=profile,
            timers=TimerService(speed=speed),
        )
    )


@standin.command()
@_address
@_speed
@click.option("--count", default=1, help="Engines, each on the next port.")
@click.option("--first-index", default=0, help="Number in the first engine's id.")
@click.option("--model", default="recipes", help="Model that all of them have loaded.")
@click.option("--news-period", default=0.0, help="Model seconds between cache events, 0 for none.")
@click.option("--seed", default=0, help="Seed of the figures.")
def publishers(
    address: str,
    speed: float,
    count: int,
    first_index: int,
    model: str,
    news_period: float,
    seed: int,
) -> None:
    """Run many engines that only publish load."""
    host, first_port = split_address(address)
    timers = TimerService(speed=speed)
    _run(
        *(
            lambda index=index: PublisherStandin(
                id=f"engine-{first_index + index}",
                address=f"{host}:{first_port + index}",
                model=model,
                event_period=news_period,
                seed=seed + first_index + index,
                timers=timers,
            )
            for index in range(count)
        )
    )


def _run(*builders: Callable[[], _Standin]) -> None:
    async def serve() -> None:
        stop = stop_event()
        for build in builders:
            build().start()
        await stop.wait()

    asyncio.run(serve())
