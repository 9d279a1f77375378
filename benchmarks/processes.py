"""CPU time, memory and control traffic of running entries."""

import os
from pathlib import Path

import msgspec

from scripts.cell import LocalCell

__all__ = ["Usage", "read_cpu_s", "read_entry_usage", "read_resident_mb"]

KB = 1_000
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
UTIME_INDEX = 11


class Usage(msgspec.Struct):
    """Resource usage of an entry since its start.

    Parameters
    ----------
    cpu_s : float
        CPU time in seconds.
    resident_mb : float
        Current resident memory in MB.
    sent, received : int
        Bytes of control traffic.
    """

    cpu_s: float
    resident_mb: float
    sent: int
    received: int


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[UTIME_INDEX]) + int(fields[UTIME_INDEX + 1])) / TICKS_PER_S


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / KB / KB
    return 0.0


def read_control_bytes(cell: LocalCell, entry: int) -> dict[str, int]:
    """Return the control traffic of an entry in bytes, by direction."""
    response = cell.http.request("GET", cell.control_url(entry) + "/metrics")
    data = msgspec.json.decode(response.data)
    metrics = data["resource_metrics"][0]["scope_metrics"][0]["metrics"]
    points = next(m for m in metrics if m["name"] == "control_bytes")["data"]
    return {p["attributes"]["direction"]: p["value"] for p in points["data_points"]}


def read_entry_usage(cell: LocalCell) -> list[Usage]:
    """Return the resource usage of each entry."""
    usages = []
    for index, process in enumerate(cell.entries):
        traffic = read_control_bytes(cell, index)
        usages.append(
            Usage(
                read_cpu_s(process.pid),
                read_resident_mb(process.pid),
                traffic["sent"],
                traffic["received"],
            )
        )
    return usages
