"""Starts the proxy of a run, kills it at its memory limit as the platform does, and sends the signals."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from benchmarks.proxy_process import ROOT, run_command
from benchmarks.soak.plan import Plan, PlannedSignal
from benchmarks.soak.records import ProcessEnd, ProcessLife
from benchmarks.soak.shimmed_proxy import STEPS_VARIABLE

WATCH_INTERVAL_S = 0.005
RESTART_DELAY_S = 1.0
KILL_MARGIN_S = 0.7  # SIGKILL follows SIGTERM after the longest deadline, at most 3 s, and this time
MAX_DEADLINE_S = 3.0
SERIES_INTERVAL_S = 0.1
RELOAD_COUNT = 3
SHIM_MODULE = "benchmarks.soak.shimmed_proxy"


def memory_figures(pid: int) -> tuple[int, int]:
    """Return the resident memory of a process and its peak, bytes; zeros once it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0, 0
    figures = dict(line.split(":", 1) for line in lines if line.startswith(("VmHWM:", "VmRSS:")))
    if len(figures) < 2:
        return 0, 0
    return int(figures["VmRSS"].split()[0]) * 1024, int(figures["VmHWM"].split()[0]) * 1024


@dataclass(frozen=True, slots=True)
class Site:
    """The files and addresses of a run.

    Attributes:
        folder: The folder for the configuration and the log.
        listen: The address of the proxy, `host:port`.
        discoveries: Two addresses of discovery.
    """

    folder: Path
    listen: str
    discoveries: tuple[str, str]


class Supervisor:
    """Keeps one proxy running until the end of the run.

    Attributes:
        lives: The processes so far, the current one last.
        is_listening: Set while the current process listens.
    """

    def __init__(self, plan: Plan, site: Site, make_config: Callable[[str], dict[str, object]]) -> None:
        """Initialize without a process.

        Args:
            plan: The plan of the run.
            site: The files and addresses of the run.
            make_config: Returns the configuration for an address of discovery.
        """
        self.lives: list[ProcessLife] = []
        self.is_listening = asyncio.Event()
        self._plan = plan
        self._site = site
        self._make_config = make_config
        self._discovery = 0
        self._process: asyncio.subprocess.Process | None = None
        self._is_ending = False
        self._intended_end: ProcessEnd | None = None
        self._log = site.folder / "log"

    async def run(self) -> None:
        """Run processes, one after the other, until `finish`."""
        while not self._is_ending:
            await self._run_process()
            if not self._is_ending:
                await asyncio.sleep(RESTART_DELAY_S)

    async def _run_process(self) -> None:
        self._write_config()
        self._intended_end = None
        log_size = self._log.stat().st_size if self._log.exists() else 0
        life = ProcessLife(time.monotonic())
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command(),
                cwd=ROOT,
                env={**os.environ, **self._environment()},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.lives.append(life)
        await self._watch(life, self._process, log_size)
        self.is_listening.clear()
        life.exit_code = await self._process.wait()
        life.ended_at_s = time.monotonic()
        if self._intended_end is not None and life.exit_code == -signal.SIGKILL:
            life.end = self._intended_end

    def _command(self) -> list[str]:
        if not self._plan.clock_steps and not self._has_disk_fault:
            return run_command()
        python = run_command()[0]
        return [python, "-B", "-m", SHIM_MODULE]

    @property
    def _has_disk_fault(self) -> bool:
        return any(planned.signal is PlannedSignal.UNREADABLE_RELOAD for planned in self._plan.signals)

    def _environment(self) -> dict[str, str]:
        steps = ",".join(f"{at_s}:{change_s}" for at_s, change_s in self._plan.clock_steps)
        return {"NODE_CONFIG": str(self._site.folder / "config.json"), STEPS_VARIABLE: steps}

    def _write_config(self) -> None:
        config = self._make_config(self._site.discoveries[self._discovery])
        new_file = self._site.folder / "config.new"
        new_file.write_text(json.dumps(config))
        new_file.rename(self._site.folder / "config.json")

    async def _watch(self, life: ProcessLife, process: asyncio.subprocess.Process, log_size: int) -> None:
        """Watch a process until it ends, and kill it once its peak exceeds its limit."""
        limit_bytes = self._plan.memory_mb * 1024 * 1024
        while process.returncode is None:
            resident_bytes, peak_bytes = memory_figures(process.pid)
            life.peak_bytes = max(life.peak_bytes, peak_bytes)
            if peak_bytes > limit_bytes:
                self._intended_end = ProcessEnd.MEMORY
                life.last_line = self._last_line()
                process.kill()
                return
            if life.listening_at_s is None and self._has_listened(log_size):
                life.listening_at_s = time.monotonic()
                life.ready_bytes = resident_bytes
                self.is_listening.set()
            await asyncio.sleep(WATCH_INTERVAL_S)

    def _has_listened(self, log_size: int) -> bool:
        with self._log.open("rb") as log:
            log.seek(log_size)
            return b" listens on " in log.read()

    def _last_line(self) -> str:
        lines = self._log.read_text(errors="replace").splitlines()
        return lines[-1] if lines else ""

    async def play(self, planned: PlannedSignal) -> None:
        """Carry out one planned signal."""
        match planned:
            case PlannedSignal.RELOADS:
                await self._reload_repeatedly()
            case PlannedSignal.UNREADABLE_RELOAD:
                await self._reload_unreadable()
            case PlannedSignal.KILL:
                self._intended_end = ProcessEnd.PLANNED_KILL
                self._send(signal.SIGKILL)
            case PlannedSignal.RESTART:
                await self._terminate()

    async def _reload_repeatedly(self) -> None:
        for _ in range(RELOAD_COUNT):
            self._discovery = 1 - self._discovery
            self._write_config()
            self._send(signal.SIGHUP)
            await asyncio.sleep(SERIES_INTERVAL_S)

    async def _reload_unreadable(self) -> None:
        mark = self._site.folder / "unreadable"
        mark.touch()
        self._send(signal.SIGHUP)
        await asyncio.sleep(SERIES_INTERVAL_S)
        self._send(signal.SIGHUP)
        await asyncio.sleep(SERIES_INTERVAL_S)
        mark.unlink()

    async def _terminate(self) -> None:
        """Send SIGTERM twice, and SIGKILL at the earliest time that the protocol allows."""
        process, life = self._process, self.lives[-1]
        if process is None or process.returncode is not None or life.listening_at_s is None:
            return
        life.terminated_at_s = time.monotonic()
        self._send(signal.SIGTERM)
        await asyncio.sleep(SERIES_INTERVAL_S)
        self._send(signal.SIGTERM)
        kill_at_s = life.terminated_at_s + MAX_DEADLINE_S + KILL_MARGIN_S
        try:
            async with asyncio.timeout(kill_at_s - time.monotonic()):
                await process.wait()
        except TimeoutError:
            self._intended_end = ProcessEnd.KILLED_LATE
            process.kill()
            await process.wait()

    async def finish(self) -> None:
        """End the last process with SIGTERM."""
        self._is_ending = True
        await self._terminate()
        if self._process is not None and self._process.returncode is None:
            self._intended_end = ProcessEnd.PLANNED_KILL
            self._process.kill()

    def _send(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)
