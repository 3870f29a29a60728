"""``baobabpulley standin``: stand-ins for external services, for tests and benches."""

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
_speed = click.option("--speed", default=1.0, help="Model seconds that pass in one real second.")
_id = click.option("--id", "id_", required=True, help="Id in the VM list.")


class _Standin(Protocol):
    def start(self) -> None: ...


@cli.group()
def standin() -> None:
    """Run a stand-in for an external service, for tests, the demo and benches."""


@standin.command()
@_address
@_speed
def store(address: str, speed: float) -> None:
    """Run a configuration store."""
    _run(lambda: StoreStandin(address=address, timers=TimerService(speed=speed)))


@standin.command()
@_address
@_speed
@click.option("--lag", default=5.0, help="Model seconds until a change to the list is visible.")
def vms(address: str, speed: float, lag: float) -> None:
    """Run a VM list."""
    _run(lambda: VmListStandin(address=address, lag=lag, timers=TimerService(speed=speed)))


@standin.command()
@_id
@_address
@_speed
def service(id_: str, address: str, speed: float) -> None:
    """Run a service that is not a model engine."""
    _run(lambda: ServiceStandin(id=id_, address=address, timers=TimerService(speed=speed)))


@standin.command()
@_id
@_address
@_speed
@click.option("--models", default="", help="Models loaded at the start, separated by commas.")
@click.option("--memory", default=400_000, help="Size of the KV cache in tokens.")
@click.option("--prefill-rate", default=20_000.0, help="Prefill tokens per model second.")
@click.option("--decode-rate", default=50.0, help="Output tokens per model second and stream.")
@click.option("--chunk", default=512, help="Prefill tokens between two checks of priorities.")
@click.option("--load-lag", default=0.5, help="Delay of load reports in model seconds.")
@click.option("--ignores-fencing", is_flag=True, help="Accept orders with outdated fencing tokens.")
@click.option("--credential", default="", help="Bearer token that orders must carry.")
@click.option("--seed", default=0, help="Seed that decides which cache events are missing.")
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
@click.option("--count", default=1, help="Number of engines, each on the next port.")
@click.option("--first-index", default=0, help="Number in the first engine's id.")
@click.option("--model", default="recipes", help="Model that all of them serve.")
@click.option("--news-period", default=0.0, help="Model seconds between cache events, 0 for none.")
@click.option("--seed", default=0, help="Seed of the published loads.")
def publishers(
    address: str,
    speed: float,
    count: int,
    first_index: int,
    model: str,
    news_period: float,
    seed: int,
) -> None:
    """Run engines that only publish their load and, optionally, cache events."""
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
