"""Processor time that one entry spends on ordinary callers, at both doors."""

import asyncio
import functools
import random
import tempfile
from pathlib import Path

import aiohttp

from benchmarks.measure import report
from benchmarks.processes import read_cpu_s, read_resident_mb
from pimentomill.platform.tests.soak._cell import KEYS, Cell
from scripts.cell import OPERATOR_KEY, CellShape, LocalCell

__all__ = ["run"]

REQUEST_COUNT = 4000
SUBMISSION_COUNT = 1000
ROUNDS = 3
CLIENT_COUNT = 16
IDLE_S = 5.0
SPEC = "x" * 2000
CPU_MILLI = 1
US_PER_S = 1_000_000
PLATFORM_HEADERS = {"Host": "h", "Key": KEYS["t"]}
OWN_HEADERS = {"Authorization": f"Bearer {OPERATOR_KEY}"}


async def call_repeatedly(session, method, urls, headers, body=None) -> None:
    """Send requests from several clients, each of which waits for its answers."""
    remaining = iter(urls)

    async def send() -> None:
        for url in remaining:
            async with session.request(method, url, json=body, headers=headers) as resp:
                await resp.read()

    await asyncio.gather(*(send() for _ in range(CLIENT_COUNT)))


async def measure(name: str, pid: int, idle_share: float, count: int, calls) -> None:
    """Report the lowest processor time per request of several rounds."""
    loop = asyncio.get_running_loop()
    costs_s = []
    for make_call in calls:
        started_at, cpu_s = loop.time(), read_cpu_s(pid)
        await make_call()
        idle_s = (loop.time() - started_at) * idle_share
        costs_s.append((read_cpu_s(pid) - cpu_s - idle_s) / count)
    report(f"{name}, processor time", min(costs_s) * US_PER_S, "us")


async def measure_idle_share(pid: int) -> float:
    """Return the share of a core that an entry uses without callers."""
    cpu_s = read_cpu_s(pid)
    await asyncio.sleep(IDLE_S)
    return (read_cpu_s(pid) - cpu_s) / IDLE_S


async def measure_door(door: str, pid: int, url: str, headers: dict) -> None:
    """Report requests without and with a body, on open and on new connections."""
    idle_share = await measure_idle_share(pid)
    urls = [url] * REQUEST_COUNT
    cases = [
        ("request on open connections", "GET", None, False),
        ("request on new connections", "GET", None, True),
        ("body on open connections", "POST", SPEC, False),
    ]
    for name, method, body, force_close in cases:
        connector = aiohttp.TCPConnector(limit=CLIENT_COUNT, force_close=force_close)
        async with aiohttp.ClientSession(connector=connector) as session:
            call = functools.partial(
                call_repeatedly, session, method, urls, headers, body
            )
            calls = [call] * ROUNDS
            await measure(f"{door}, {name}", pid, idle_share, REQUEST_COUNT, calls)


async def measure_platform(folder: Path) -> None:
    """Report the cost of requests and submissions at an entry of the platform."""
    cell = Cell(folder, random.Random(1), entries=1, workers=1)
    try:
        await cell.start()
        entry = cell.entries[0]
        pid = entry.process.pid
        url = f"{entry.front_url}/q/"
        await measure_door("platform", pid, url, PLATFORM_HEADERS)
        step = {"Count": 1, "Cpu": CPU_MILLI}
        body = {"Spec": SPEC, "Steps": [step]}

        async def submit(first: int) -> None:
            jobs = [f"{first + index:016x}" for index in range(SUBMISSION_COUNT)]
            cell.cpu_by_job.update(dict.fromkeys(jobs, CPU_MILLI))
            urls = [url + job for job in jobs]
            await call_repeatedly(cell.session, "POST", urls, PLATFORM_HEADERS, body)

        idle_share = await measure_idle_share(pid)
        calls = [
            functools.partial(submit, number * SUBMISSION_COUNT)
            for number in range(ROUNDS)
        ]
        await measure("platform, submission", pid, idle_share, SUBMISSION_COUNT, calls)
        report("platform, resident memory", read_resident_mb(pid), "MB")
    finally:
        await cell.stop()


async def measure_own() -> None:
    """Report the cost of requests at the product's own interface."""
    with LocalCell(CellShape(entries=1, workers=1, backends=1, groups=1)) as cell:
        pid = cell.entries[0].pid
        await measure_door("own", pid, f"{cell.caller_url(0)}/healthz", OWN_HEADERS)
        report("own, resident memory", read_resident_mb(pid), "MB")


def run() -> None:
    """Measure both doors."""
    with tempfile.TemporaryDirectory() as name:
        asyncio.run(measure_platform(Path(name)))
    asyncio.run(measure_own())
