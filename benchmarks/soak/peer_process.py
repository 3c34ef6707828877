"""Process of the peers of one crowd; started by `run`, stopped by the end of its standard input.

    python -m benchmarks.soak.peer_process KIND COUNT HOST PORT SEED [RATE]

It writes its report as JSON to standard output when it stops.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from dataclasses import asdict, dataclass

from benchmarks.soak.clients import Clients
from benchmarks.soak.peers import repeat_stays
from benchmarks.soak.plan import PeerKind
from benchmarks.soak.records import PeerReport

LAG_INTERVAL_S = 0.02
STOP_TIMEOUT_S = 8.0
CONNECT_SPREAD_S = 0.5


@dataclass(frozen=True, slots=True)
class Task:
    """The arguments of the process."""

    kind: PeerKind
    count: int
    host: str
    port: int
    seed: int
    rate_per_s: float


def read_task(arguments: list[str]) -> Task:
    """Return the task of the command line."""
    kind, count, host, port, seed, *rate = arguments
    return Task(PeerKind(kind), int(count), host, int(port), int(seed), float(rate[0]) if rate else 0.0)


async def play(task: Task) -> PeerReport:
    """Play the peers until standard input ends, and return their report."""
    report = PeerReport()
    stop = asyncio.Event()
    asyncio.get_running_loop().add_reader(sys.stdin.fileno(), stop.set)
    measuring = asyncio.ensure_future(_measure_lag(report))
    playing = [asyncio.ensure_future(_play_one(task, number, stop, report)) for number in range(task.count)]
    await stop.wait()
    asyncio.get_running_loop().remove_reader(sys.stdin.fileno())
    await asyncio.wait(playing, timeout=STOP_TIMEOUT_S)
    report.stopped_at_s = time.monotonic()
    for peer in (measuring, *playing):
        peer.cancel()
    await asyncio.gather(measuring, *playing, return_exceptions=True)
    return report


async def _measure_lag(report: PeerReport) -> None:
    while True:
        before_s = time.monotonic()
        await asyncio.sleep(LAG_INTERVAL_S)
        report.longest_lag_s = max(report.longest_lag_s, time.monotonic() - before_s - LAG_INTERVAL_S)


async def _play_one(task: Task, number: int, stop: asyncio.Event, report: PeerReport) -> None:
    await asyncio.sleep(random.Random(task.seed + number).uniform(0.0, CONNECT_SPREAD_S))
    seed = task.seed * 1_000 + number
    clients = Clients(task.host, task.port, seed, f"{task.seed % 0x10000:04x}{number:04x}", report)
    match task.kind:
        case PeerKind.SOUND:
            await clients.run_steadily(task.rate_per_s, stop)
        case PeerKind.SOUND_LARGE:
            await clients.run_closed_loop(stop)
        case PeerKind.SOUND_SLOW:
            await clients.run_closed_loop(stop, slowly=True)
        case PeerKind.LEAVES:
            await clients.leave_and_return(stop)
        case PeerKind.LEAVES_UNREAD:
            await clients.leave_unread(stop)
        case _:
            name = f"p{task.seed:x}-{number:x}-".encode()
            await repeat_stays(task.kind, (task.host, task.port), name, stop, report)


if __name__ == "__main__":
    json.dump(asdict(asyncio.run(play(read_task(sys.argv[1:])))), sys.stdout)
