"""Accepted jobs must start although a new leader's machine is lost with the others."""

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "11"))

from cell import (  # noqa: E402
    CONTROL,
    FRONT,
    READY,
    Cell,
    new_record,
    route,
    run_case,
    tenant,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENROL_S = 12.0
LOSS_AFTER_S = 0.2
DOWN_S = 2.0
CONTACT_S = 3.0
FINISH_S = 14.0
IDLE_S = 3.0
JOBS = 3


def make_dark(ip):
    """Let nothing answer at the address of a machine that has been removed.

    The queues of the listening sockets are full, so that connections time out.
    """
    sockets = []
    for port in (FRONT, CONTROL, READY):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, port))
        listener.listen(0)
        sockets.append(listener)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((ip, port))
            sockets.append(filler)
    return sockets


async def lose_power(cell):
    """Restart the leader, and let all machines lose power once another one leads.

    Returns
    -------
    list of Entry
        The machines that are back.
    list of socket
        Sockets of the machine that is not.
    """
    first = cell.leader()
    cell.signal(first, signal.SIGTERM)
    async with asyncio.timeout(10):
        while cell.leader() is first:
            await asyncio.sleep(0.005)
    lost = cell.leader()
    cell.record.add("new-leader", entry=lost.name)
    await asyncio.sleep(LOSS_AFTER_S)
    for entry in cell.entries:
        cell.kill(entry)
    for entry in cell.entries:
        await entry.process.wait()
    dark = make_dark(lost.ip)
    cell.record.add("power-lost", removed=lost.name)
    await asyncio.sleep(DOWN_S)
    others = [entry for entry in cell.entries if entry is not lost]
    for entry in others:
        await cell.spawn(entry)
    await cell.wait_ready(others)
    cell.record.add("back", machines=len(others))
    return others, dark


async def submit(cell, entries):
    """Submit jobs at machines that are up; return the accepted ones."""
    accepted = []
    for number in range(JOBS):
        job = cell.job_id()
        step = {"Count": 1, "Cpu": 1000, "MemMb": 100, "EstimateMs": 500}
        body = {"Spec": f"payload {job}", "Steps": [step]}
        cell.plan.jobs[job] = body
        cell.plan.durations_s[job] = 0.5
        entry = entries[number % len(entries)]
        status, _ = await cell.call("POST", f"/q/{job}", "key-t", body, entry)
        if status == 200:
            accepted.append(job)
    return accepted


async def play(record):
    """Run the case and return its exit code."""
    async with Cell(record, entries=7) as cell:
        for number in range(6):
            await cell.add_executor(f"i-a{number:07x}", "svc", ["a", "r1"])
        cell.configure([route("q", "svc")], ["svc"], [tenant("t", "key-t")])
        await cell.start_entries()
        await asyncio.sleep(ENROL_S)
        if cell.leader() is None:
            return 2
        up, dark = await lose_power(cell) if TROUBLE else (cell.entries, [])
        await asyncio.sleep(CONTACT_S)
        jobs = await submit(cell, up)
        if not jobs:
            return 2
        await asyncio.sleep(FINISH_S + IDLE_S)
        begun = {fields["task"].split(".")[0] for _, fields in record.find("start")}
        record.add("verdict", accepted=len(jobs), begun=len(begun.intersection(jobs)))
        for job in jobs:
            await cell.call("GET", f"/q/{job}", "key-t", entry=up[0])
        for item in dark:
            item.close()
    return 0 if begun.issuperset(jobs) else 1


if __name__ == "__main__":
    sys.exit(run_case(play, new_record(__file__)))
