"""Starts a real proxy process with the command in the deploy file, and measures its resource usage."""

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
START_TIMEOUT_S = 30.0
LOG_TAIL_LINES = 20  # log lines included in an error message
LISTENING_LINE = re.compile(r"listens on [^\n]*:(\d+)\n")
POLL_INTERVAL_S = 0.02
# A proxy that uses at most MAX_QUIET_CPU_S of CPU time in QUIET_INTERVAL_S has processed all its input.
QUIET_INTERVAL_S = 0.5
MAX_QUIET_CPU_S = 0.02


class ProxyEndedError(Exception):
    """The proxy has exited or does not reach an expected state; the message gives the reason."""


class NotListeningError(ProxyEndedError):
    """The proxy has exited or did not listen within START_TIMEOUT_S."""

    def __init__(self, last_lines: str) -> None:
        """Build the message from the last lines of the proxy's log."""
        super().__init__(f"the proxy does not listen; end of its log:\n{last_lines}")


class MemoryUnavailableError(ProxyEndedError):
    """The proxy has exited, and the system no longer reports its memory usage."""

    def __init__(self) -> None:
        """Initialize with a fixed message."""
        super().__init__("no VmHWM line in the status of the proxy process: it has exited")


class MissingExecError(ValueError):
    """`run` in the deploy file does not start with `exec`: signals would reach the shell, not the proxy."""

    def __init__(self, words: list[str]) -> None:
        """Build the message from the words of the command."""
        super().__init__(f"`run` in the deploy file has to start with `exec`: {words}")


def run_command() -> list[str]:
    """Return the `run` command of the deploy file, without its `exec`.

    If the interpreter of the command has not been installed, it is replaced with the current one.

    Raises:
        MissingExecError: `run` does not start with `exec`.
    """
    words = str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]).split()
    if words[0] != "exec":
        raise MissingExecError(words)
    python, *rest = words[1:]
    return [python if (ROOT / python).exists() else sys.executable, *rest]


class ProxyProcess:
    """A running proxy. It logs to a file, as reading a pipe would affect the measurement."""

    def __init__(self, process: asyncio.subprocess.Process, log: Path) -> None:
        """Initialize with a started process.

        Args:
            process: The process, which need not listen yet.
            log: The file that receives its standard error.
        """
        self._process, self._log = process, log
        self.pid = process.pid
        self.port = 0

    async def wait_until_listening(self) -> None:
        """Wait for the log line that contains the listening port, and store the port.

        Raises:
            ProxyEndedError: The proxy has exited, or has not listened within 30 s.
        """
        loop = asyncio.get_running_loop()
        give_up_at_s = loop.time() + START_TIMEOUT_S
        while (listening_match := LISTENING_LINE.search(self._log.read_text())) is None:
            if self._process.returncode is not None or loop.time() > give_up_at_s:
                raise NotListeningError(self.last_lines())
            await asyncio.sleep(POLL_INTERVAL_S)
        self.port = int(listening_match[1])

    def last_lines(self) -> str:
        """Return the last lines of the log."""
        return "".join(self._log.read_text().splitlines(keepends=True)[-LOG_TAIL_LINES:])

    def signal(self, number: int) -> None:
        """Send a signal to the proxy.

        Raises:
            ProcessLookupError: The proxy has exited.
        """
        self._process.send_signal(number)

    @property
    def cpu_s(self) -> float:
        """User and system time since the start of the process.

        Raises:
            FileNotFoundError: The proxy has exited and was reaped.
        """
        # The program name, in parentheses, may contain spaces. User and system time are fields 14 and 15.
        after_name = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(after_name[11]) + int(after_name[12])) / TICKS_PER_S

    @property
    def peak_memory(self) -> int:
        """Peak resident memory, bytes.

        Raises:
            ProxyEndedError: The proxy has exited, and the system no longer reports the value.
            FileNotFoundError: The proxy has exited and was reaped.
        """
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        raise MemoryUnavailableError

    @property
    def descriptors(self) -> int:
        """Number of open file descriptors.

        Raises:
            FileNotFoundError: The proxy has exited and was reaped.
        """
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    async def wait_until_quiet(self, timeout_s: float) -> bool:
        """Wait until the proxy has processed all its input, detected by its CPU time.

        Args:
            timeout_s: The longest wait.

        Returns:
            Whether the proxy became quiet within the timeout.
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
        """Kill the proxy if it is still running, and wait until it is reaped."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()


@asynccontextmanager
async def proxy_process(folder: Path) -> AsyncIterator[ProxyProcess]:
    """Start a proxy with the `config.json` of a folder, yield it once it listens, and kill it at the end.

    Raises:
        ProxyEndedError: The proxy has exited, or has not listened within 30 s.
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
