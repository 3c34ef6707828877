"""One real proxy process, started as the deploy file says, and what the system tells of it."""

from __future__ import annotations

import asyncio
import os
import re
import sys
import tomllib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

ROOT = Path(__file__).parent.parent
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
START_TIMEOUT_S = 30.0  # a proxy that takes longer has failed to start
LOG_TAIL_LINES = 20  # lines of its log that are kept for an error
LISTENING_LINE = re.compile(r"listens on [^\n]*:(\d+)\n")
POLL_INTERVAL_S = 0.02
QUIET_INTERVAL_S = 0.5  # one that used next to no CPU for this long has worked off what it was sent
MAX_QUIET_CPU_S = 0.02


class ProxyEndedError(Exception):
    """The proxy is gone, or does not do what the play waits for; the message says what."""


class NotListeningError(ProxyEndedError):
    """The proxy has ended or did not come up in time."""

    def __init__(self, last_lines: str) -> None:
        """Repeat the end of the proxy's log."""
        super().__init__(f"it does not listen\n{last_lines}")


class MemoryUnavailableError(ProxyEndedError):
    """The proxy has ended, and the system reports no figure of its memory any more."""

    def __init__(self) -> None:
        """Word the message."""
        super().__init__("the system tells nothing of its memory")


class MissingExecError(ValueError):
    """The deploy file's `run` does not replace its shell by the process: a signal would miss the proxy."""

    def __init__(self, words: list[str]) -> None:
        """Repeat the words of the command."""
        super().__init__(f"`run` does not end in one process: {words}")


def run_command() -> list[str]:
    """Return the deploy file's `run`, with this interpreter where its environment has not been built.

    Raises:
        MissingExecError: `run` does not replace its shell by the process.
    """
    words = str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]).split()
    if words[0] != "exec":
        raise MissingExecError(words)
    python, *rest = words[1:]
    return [python if (ROOT / python).exists() else sys.executable, *rest]


class ProxyProcess:
    """A running proxy. Its log is a file: whoever reads a pipe would take part in what is measured."""

    def __init__(self, process: asyncio.subprocess.Process, log: Path) -> None:
        """Take over a process that has been started.

        Args:
            process: The process, which need not listen yet.
            log: The file that its standard error goes to.
        """
        self._process, self._log = process, log
        self.pid = process.pid
        self.port = 0

    async def wait_until_listening(self) -> None:
        """Wait for the line that names its port.

        Raises:
            ProxyEndedError: It has ended, or has not listened within 30 s.
        """
        loop = asyncio.get_running_loop()
        give_up_at_s = loop.time() + START_TIMEOUT_S
        while (listening_match := LISTENING_LINE.search(self._log.read_text())) is None:
            if self._process.returncode is not None or loop.time() > give_up_at_s:
                raise NotListeningError(self.last_lines())
            await asyncio.sleep(POLL_INTERVAL_S)
        self.port = int(listening_match[1])

    def last_lines(self) -> str:
        """Return the end of its log."""
        return "".join(self._log.read_text().splitlines(keepends=True)[-LOG_TAIL_LINES:])

    def signal(self, number: int) -> None:
        """Send the proxy a signal.

        Raises:
            ProcessLookupError: It has ended.
        """
        self._process.send_signal(number)

    @property
    def cpu_s(self) -> float:
        """User and system time since its start, seconds.

        Raises:
            FileNotFoundError: It has ended and the system has taken it back.
        """
        # The program's name, in parentheses, may hold spaces; user and system time are fields 14 and 15.
        after_name = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(after_name[11]) + int(after_name[12])) / TICKS_PER_S

    @property
    def peak_memory(self) -> int:
        """The most memory it ever had resident, bytes.

        Raises:
            ProxyEndedError: It has ended, and the system tells no figure any more.
            FileNotFoundError: It has ended and the system has taken it back.
        """
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        raise MemoryUnavailableError

    @property
    def descriptors(self) -> int:
        """The number of descriptors that are open now.

        Raises:
            FileNotFoundError: It has ended and the system has taken it back.
        """
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    async def wait_until_quiet(self, timeout_s: float) -> bool:
        """Wait until the proxy has processed what it was sent, which shows as next to no CPU time.

        Args:
            timeout_s: The longest wait, in seconds.

        Returns:
            Whether it came to that; false where it still works after the longest wait.
        """
        loop = asyncio.get_running_loop()
        give_up_at_s, cpu_before_s = loop.time() + timeout_s, self.cpu_s
        while loop.time() < give_up_at_s:
            await asyncio.sleep(QUIET_INTERVAL_S)
            cpu_used_s, cpu_before_s = self.cpu_s - cpu_before_s, self.cpu_s
            if cpu_used_s <= MAX_QUIET_CPU_S:
                return True
        return False

    async def end(self) -> None:
        """Kill the proxy if it still runs, and wait until the system has taken it back."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()


@asynccontextmanager
async def proxy_process(folder: Path) -> AsyncIterator[ProxyProcess]:
    """Start a proxy by the `config.json` of a folder, yield it once it listens, and kill it at the end.

    Raises:
        ProxyEndedError: It has ended, or has not listened within 30 s.
    """
    log = folder / "log"
    with log.open("wb") as errors:
        process = await asyncio.create_subprocess_exec(
            *run_command(),
            cwd=ROOT,
            env={**os.environ, "NODE_CONFIG": str(folder / "config.json")},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=errors,
        )
    proxy = ProxyProcess(process, log)
    try:
        await proxy.wait_until_listening()
        yield proxy
    finally:
        await proxy.end()
