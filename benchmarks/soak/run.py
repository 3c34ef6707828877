"""Plays one run of the soak test: stand-ins, the proxy under its supervisor, and the peers."""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from pathlib import Path

from benchmarks.proxy_process import ROOT
from benchmarks.soak.clients import KINDS
from benchmarks.soak.endpoints import Endpoints
from benchmarks.soak.plan import Crowd, PeerKind, Plan, SignalAt
from benchmarks.soak.records import PeerReport, PeerStay, RequestEnd, RunRecord, SentRequest
from benchmarks.soak.supervisor import Site, Supervisor
from benchmarks.stand_ins import Discovery

SECOND_US = 1_000_000
READY_TIMEOUT_S = 30.0
LAG_INTERVAL_S = 0.02
FIRST_NETWORK, NETWORK_COUNT = 101, 150  # second octets of the runs' addresses
CLAIM_PORT = 9001
PEER_STOP_TIMEOUT_S = 30.0
SHUTDOWN_S = 4.0  # clients go on through the shutdown, up to SIGKILL
IDEMPOTENCY = {"read": "safe", "order": "keyed", "pay": "unsafe"}


class NoFreeNetworkError(Exception):
    """All loopback networks are in use by other runs."""


class NeverReadyError(Exception):
    """The first proxy process of a run did not listen in time."""


def settings() -> dict[str, object]:
    """Return the settings of the proxy in the format of the configuration."""
    lanes = [
        {
            "name": kind.name,
            "idempotency": IDEMPOTENCY[kind.name],
            "onTimeUs": round(0.5 * kind.deadline_s * SECOND_US),
            "deadlineUs": round(kind.deadline_s * SECOND_US),
            "worth": 1.0,
        }
        for kind in KINDS
    ]
    return {
        "lanes": lanes,
        "contract": {"startCapacity": 0.4, "coldUs": SECOND_US, "fallMultiple": 3.0, "fallUs": 1_500_000},
        "limits": {
            "maxAttempts": 6,
            "cancel": True,
            "connectTimeoutUs": 250_000,
            "connIdleUs": 30 * SECOND_US,
        },
        "registryMode": "automatic",
        "tickUs": 5_000,
    }


@contextmanager
def claimed_network(seed: int) -> Iterator[str]:
    """Yield the first two octets of addresses that no other run uses, as long as the context is open.

    Raises:
        NoFreeNetworkError: All are in use.
    """
    for offset in range(NETWORK_COUNT):
        network = f"127.{FIRST_NETWORK + (seed + offset) % NETWORK_COUNT}"
        with socket.socket() as claim:
            try:
                claim.bind((f"{network}.9.9", CLAIM_PORT))
            except OSError:
                continue
            yield network
            return
    raise NoFreeNetworkError


@dataclass(frozen=True, slots=True)
class PeerProcess:
    """A started process of peers."""

    process: asyncio.subprocess.Process

    async def stop(self) -> PeerReport:
        """Stop the peers by closing their standard input, and return their report.

        Raises:
            TimeoutError: They have not stopped in time; they are killed.
        """
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            async with asyncio.timeout(PEER_STOP_TIMEOUT_S):
                output, _ = await self.process.communicate()
        except TimeoutError:
            self.process.kill()
            raise
        return read_report(json.loads(output))


def read_report(fields: dict[str, list[dict[str, object]]]) -> PeerReport:
    """Return the report that a process of peers has written."""
    values = dict(fields)
    requests = [SentRequest(**request) for request in values.pop("requests")]  # type: ignore[arg-type]
    for request in requests:
        request.end = RequestEnd(request.end)
    stays = [PeerStay(**stay) for stay in values.pop("stays")]  # type: ignore[arg-type]
    return PeerReport(requests, stays, **values)  # type: ignore[arg-type]


async def start_peers(crowd: Crowd, listen: str, seed: int, rate_per_s: float) -> PeerProcess:
    """Start the peers of a crowd in a process of their own."""
    host, _, port = listen.partition(":")
    arguments = [crowd.kind.value, str(crowd.count), host, port, str(seed), str(rate_per_s)]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "benchmarks.soak.peer_process",
        *arguments,
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,  # asyncio warns of each stream that outlives its event loop
    )
    return PeerProcess(process)


class Run:
    """One run of the soak test."""

    def __init__(self, plan: Plan, folder: Path, network: str) -> None:
        """Initialize a run without starting anything.

        Args:
            plan: The plan.
            folder: The folder for the proxy's configuration and log.
            network: The first two octets of all addresses.
        """
        self._plan = plan
        self._folder = folder
        self._network = network
        self._record = RunRecord()
        self._endpoints = Endpoints(plan, network)
        self._discovery = Discovery()

    async def play(self) -> RunRecord:
        """Play the whole run.

        Raises:
            OSError: A stand-in cannot listen.
            NeverReadyError: The proxy did not listen in time.
        """
        async with self._stand_ins() as supervisor:
            supervising = asyncio.ensure_future(supervisor.run())
            try:
                async with asyncio.timeout(READY_TIMEOUT_S):
                    await supervisor.is_listening.wait()
            except TimeoutError:
                supervising.cancel()
                raise NeverReadyError(self._log_text()[-2_000:]) from None
            await self._play_plan(supervisor)
            await supervising
            self._record.lives = supervisor.lives
        self._record.executions = self._endpoints.executions
        self._count_log_lines()
        return self._record

    @asynccontextmanager
    async def _stand_ins(self) -> AsyncIterator[Supervisor]:
        for number, address in enumerate(await self._endpoints.start()):
            self._discovery.add(f"s-{number:08x}", address, cell=number // 8)
        discoveries = (await self._discovery.listen(), await self._discovery.listen())
        site = Site(self._folder, f"{self._network}.1.1:9000", discoveries)
        measuring = asyncio.ensure_future(self._measure_lag())
        try:
            yield Supervisor(self._plan, site, self._config)
        finally:
            measuring.cancel()
            self._discovery.stop()
            self._endpoints.stop()

    def _config(self, discovery: str) -> dict[str, object]:
        seed = random.Random(self._plan.seed).getrandbits(64)
        return {
            "name": "n1",
            "listen": f"{self._network}.1.1:9000",
            "discovery": discovery,
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": self._plan.memory_mb, "sockets": self._plan.sockets},
            "settings": settings(),
            "known": self._discovery.complete_list(),
        }

    async def _play_plan(self, supervisor: Supervisor) -> None:
        always = Crowd(PeerKind.SOUND, 1, 0.0, self._plan.seconds)
        playing = [
            asyncio.ensure_future(self._play_crowd(crowd, number))
            for number, crowd in enumerate((always, *self._plan.crowds))
        ]
        began_at_s = time.monotonic()
        for planned in self._plan.signals:
            await self._play_signal(supervisor, planned, began_at_s)
        await asyncio.sleep(max(0.0, began_at_s + self._plan.seconds - time.monotonic()))
        await supervisor.finish()  # while clients keep using the connections that stay open
        for report in await asyncio.gather(*playing):
            self._record.reports.append(report)

    async def _play_signal(self, supervisor: Supervisor, planned: SignalAt, began_at_s: float) -> None:
        await asyncio.sleep(max(0.0, began_at_s + planned.at_s - time.monotonic()))
        if supervisor.is_listening.is_set():
            await supervisor.play(planned.signal)

    async def _play_crowd(self, crowd: Crowd, number: int) -> PeerReport:
        await asyncio.sleep(crowd.from_s)
        seed = self._plan.seed * 100 + number
        peers = await start_peers(crowd, f"{self._network}.1.1:9000", seed, self._plan.sound_rate_per_s)
        lasts_to_the_end = crowd.until_s >= self._plan.seconds
        await asyncio.sleep(crowd.until_s - crowd.from_s + (SHUTDOWN_S if lasts_to_the_end else 0.0))
        return await peers.stop()

    async def _measure_lag(self) -> None:
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            lag_s = time.monotonic() - before_s - LAG_INTERVAL_S
            self._record.longest_lag_s = max(self._record.longest_lag_s, lag_s)

    def _log_text(self) -> str:
        log = self._folder / "log"
        return log.read_text(errors="replace") if log.exists() else ""

    def _count_log_lines(self) -> None:
        text = self._log_text()
        self._record.log_line_count = text.count("\n")
        self._record.traceback_count = text.count("Traceback (most recent call last)")


def play(plan: Plan, keep_logs: Path | None = None) -> RunRecord:
    """Play one run in a folder of its own.

    Args:
        plan: The plan.
        keep_logs: The folder that the proxy's log is moved to; None discards it.
    """
    with tempfile.TemporaryDirectory() as folder, claimed_network(plan.seed) as network:
        record = asyncio.run(Run(plan, Path(folder), network).play())
        if keep_logs is not None:
            keep_logs.mkdir(parents=True, exist_ok=True)
            (keep_logs / f"{plan.seed}-{os.getpid()}.log").write_text(
                (Path(folder) / "log").read_text(errors="replace")
            )
    return record
