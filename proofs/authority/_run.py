"""Runs of the model with random faults."""

import asyncio
import gc
from collections.abc import Awaitable, Callable

import msgspec

from ._cell import Cell, CellShape
from ._faults import Faults
from ._scenarios import SCENARIO_SHAPE, SCENARIOS

__all__ = ["AuthorityResult", "run_scenario", "run_seed"]

WARM_UP_S = 4.0
RUN_S = 60.0
CLEAN_UP_S = 0.3
CLEAN_UP_ROUNDS = 3
SHOWN_TRACE_LINES = 120


class AuthorityResult(msgspec.Struct):
    """Result of a run.

    Parameters
    ----------
    seed : int
        Seed of the run.
    starts, orders, leaders : int
        Number of checked starts, of checked orders, and of leaderships.
    faults : dict
        Injected faults, by kind.
    events : dict
        Logged changes of the authority of leaders.
    failures : dict
        First violation of each invariant.
    trace : list of str
        Last lines of the logs, empty unless the run failed.
    """

    seed: int
    starts: int
    orders: int
    leaders: int
    faults: dict[str, int]
    events: dict[str, int]
    failures: dict[str, str]
    trace: list[str] = []


def run_seed(
    seed: int,
    duration_s: float = RUN_S,
    shape: CellShape | None = None,
    stops_at_any: bool = True,
) -> AuthorityResult:
    """Run a cell with the faults of a seed and return what was checked.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    duration_s : float, default=60.0
        Simulated time in seconds in which faults begin.
    shape : CellShape, default=CellShape()
        Size and timing of the cell.
    stops_at_any : bool, default=True
        Whether to stop at a violation of any invariant, not only of the main one.
    """
    cell = Cell(seed, shape)
    faults = Faults(cell, stops_at_any)
    return _play(cell, lambda: faults.run(duration_s), faults.counts)


def run_scenario(name: str, seed: int) -> AuthorityResult:
    """Run a scripted scenario; the seed varies its times, tasks and clocks."""
    cell = Cell(seed, SCENARIO_SHAPE)
    return _play(cell, lambda: SCENARIOS[name](cell), {name: 1})


def _play(
    cell: Cell, play: Callable[[], Awaitable[None]], faults: dict[str, int]
) -> AuthorityResult:
    async def run() -> None:
        cell.boot()
        await asyncio.sleep(WARM_UP_S)
        await play()
        await close(cell)

    with cell.patched():
        cell.loop.run_until_complete(run())
        cell.loop.close()
    gc.collect()
    return AuthorityResult(
        cell.seed,
        cell.starts_,
        cell.orders_,
        cell.leaders_,
        dict(faults),
        dict(cell.events_),
        cell.failures_,
        list(cell.trace_)[-SHOWN_TRACE_LINES:] if cell.failures_ else [],
    )


async def close(cell: Cell) -> None:
    """End all processes and let their tasks finish."""
    for entry in cell.entries.values():
        if entry.process is not None:
            entry.kill()
    for worker in cell.workers.values():
        if worker.process is not None:
            worker.crash()
    cell.store_endpoint.process.kill()
    for _ in range(CLEAN_UP_ROUNDS):
        await asyncio.sleep(CLEAN_UP_S)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
    await asyncio.sleep(CLEAN_UP_S)
