"""The platform's part: writes the configuration, starts the proxy by the deploy file, and ends it."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0
SECOND_US = 1_000_000
PR_SET_PDEATHSIG = 1  # see prctl(2)


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def end_with_parent() -> None:
    """Have the system kill this process when its parent ends; called in what is about to be a proxy.

    A script that is killed can't end its proxy itself.
    """
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def lane(name: str, idempotency: str, deadline_s: float, **more: object) -> dict[str, object]:
    """Return a request class of the settings, which is wanted by its deadline."""
    deadline_us = round(deadline_s * SECOND_US)
    return {
        "name": name,
        "idempotency": idempotency,
        "onTimeUs": deadline_us,
        "deadlineUs": deadline_us,
        "worth": 1.0,
        "lateValue": 0.0,
        "stream": False,
        **more,
    }


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of a small deployment of premium-clearing."""
    return {
        "azs": ["taipei", "taoyuan", "hsinchu"],
        "callers": {"marksRetry": True},
        "contract": {
            "answerSlackUs": 20_000,
            "coldUs": 8_600_000,
            "fallMultiple": 3.0,
            "fallUs": 1_500_000,
            "mustAskInUs": 10_000_000,
            "startCapacity": 0.32,
            "stopSendingWithinUs": 250_000,
        },
        "deductions": {"crossZone": 0.05, "lateFail": 0.033, "waste": 0.2},
        "index": 0,
        "instances": 1,
        "lanes": [
            lane("quote", "safe", 3.0, onTimeUs=1_200_000),
            lane("schedule", "keyed", 3.0, onTimeUs=1_200_000, keyScope="zone", repeatWindowUs=5_000_000),
            lane("settle", "unsafe", 6.0, onTimeUs=2_500_000),
        ],
        "limits": {
            "cancel": True,
            "connIdleUs": 60_000_000,
            "connectTimeoutUs": 120_000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 800_000,
            "maxAttempts": 6,
            "maxOpen": 20_000,
            "maxRetryAfterUs": 3_000_000,
            "peerMessages": False,
            "probing": False,
            "retryAfter": True,
            "secondCopies": True,
            "streamsPerConn": 1,
        },
        "overShareWorth": 0.1,
        "registryMode": "automatic",
        "resultMix": {"whole": 0.55, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.35},
        "serviceType": "chain",
        "specifics": {"passesDeadline": True},
        "stages": ["front", "ledger"],
        "stats": {"fields": ["busy_reqs", "svc_ms"], "how": "piggyback"},
        "tenants": [],
        "tickUs": 5000,
        "tier": 0,
        "weightSource": "silent",
        "worthBy": "request",
        "zone": "taipei",
        **changes,
    }


class Proxy:
    """One proxy process, started by the command `run` of the deploy file."""

    def __init__(self, config: dict[str, Any]) -> None:
        """Write the configuration into a temporary folder; nothing is started yet."""
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._path = Path(self._folder.name) / "config.json"
        self.listen_port = free_port()
        self.config: dict[str, Any] = {
            "name": "proxy-1",
            "listen": f"127.0.0.1:{self.listen_port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 1024},
            **config,
        }
        self.write_config()
        self.process: asyncio.subprocess.Process | None = None
        self.started_at_s = 0.0
        self.log_path = Path(self._folder.name) / "log.txt"

    def write_config(self, **changes: object) -> None:
        """Replace the configuration file as a whole, with these fields changed."""
        self.config = {**self.config, **changes}
        part = self._path.with_suffix(".part")
        part.write_text(json.dumps(self.config))
        part.replace(self._path)

    async def start(self) -> None:
        """Start the process."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        tmp = Path(self._folder.name) / "tmp"
        tmp.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "NODE_NAME": str(self.config["name"]),
            "NODE_LISTEN": str(self.config["listen"]),
            "NODE_DISCOVERY": str(self.config["discovery"]),
            "NODE_CONFIG": str(self._path),
            "TMPDIR": str(tmp),
        }
        with self.log_path.open("ab") as log:
            self.started_at_s = time.monotonic()
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )

    async def is_ready_now(self) -> bool:
        """Return whether `GET /ready` is answered with 200 now."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.listen_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
            return (await reader.readline()).startswith(b"HTTP/1.1 200")
        except OSError:
            return False
        finally:
            writer.transport.abort()

    async def wait_until_ready(self, interval_s: float = 0.05) -> None:
        """Ask `GET /ready` until the answer is 200.

        Raises:
            TimeoutError: The proxy is not ready in time.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready_now():
                await asyncio.sleep(interval_s)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    async def close(self) -> None:
        """End the process, and remove the temporary folder."""
        await self.kill()
        self._folder.cleanup()

    @property
    def log(self) -> str:
        """What the process has written."""
        return self.log_path.read_text(errors="replace")
