"""The proxy as a separate process, started by the `run` command of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any

from stand_ins.record import Record

ROOT = Path(__file__).resolve().parent.parent.parent


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket() as candidate:
        candidate.bind(("127.0.0.1", 0))
        return int(candidate.getsockname()[1])


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of the small deployment premium-clearing."""
    lane = {"keyScope": "all", "lateValue": 0.0, "repeatWindowUs": 5_000_000, "stream": False}
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
            {**lane, "name": "quote", "idempotency": "safe", "onTimeUs": 1_200_000, "deadlineUs": 3_000_000,
             "worth": 5.0},
            {**lane, "name": "schedule", "idempotency": "keyed", "keyScope": "zone", "onTimeUs": 1_200_000,
             "deadlineUs": 3_000_000, "worth": 3.0},
            {**lane, "name": "settle", "idempotency": "unsafe", "onTimeUs": 2_500_000,
             "deadlineUs": 6_000_000, "worth": 5.0},
        ],
        "limits": {
            "cancel": True,
            "connIdleUs": 60_000_000,
            "connectTimeoutUs": 120_000,
            "maxAttempts": 6,
            "maxOpen": 20_000,
            "maxRetryAfterUs": 3_000_000,
            "peerMessages": False,
            "probing": False,
            "retryAfter": True,
            "secondCopies": True,
            "streamsPerConn": 1,
        },
        "registryMode": "automatic",
        "serviceType": "chain",
        "stages": ["front", "ledger"],
        "tenants": [],
        "tickUs": 5000,
        "tier": 0,
        "zone": "taipei",
        **changes,
    }  # fmt: skip


class Proxy:
    """One proxy process."""

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        """Choose a port; `start` starts the process.

        Args:
            name: The proxy's name.
            folder: An empty temporary folder for its configuration.
            record: The record of the case.
        """
        self.name = name
        self.port = free_port()
        self.config_path = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None
        self._folder = folder
        self._record = record
        self._config: dict[str, Any] = {}
        self._log_task: asyncio.Task[None] | None = None

    def write_config(self, discovery_port: int, known: dict[str, Any], **settings_changes: Any) -> None:
        """Write the configuration file, replacing an earlier one at once."""
        self._config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
            "known": known,
            "settings": settings(**settings_changes),
        }
        part = self.config_path.with_suffix(".part")
        part.write_text(json.dumps(self._config))
        part.replace(self.config_path)

    async def start(self) -> None:
        """Start the process, and wait until `GET /ready` answers 200."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "NODE_CONFIG": str(self.config_path),
            "NODE_NAME": self.name,
            "NODE_LISTEN": self._config["listen"],
            "NODE_DISCOVERY": self._config["discovery"],
            "TMPDIR": str(self._folder),
        }
        environment.pop("PYTHONPATH", None)  # is for the stand-ins alone
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
        )
        self._log_task = asyncio.create_task(self._copy_log(self.process))
        self._record.line(f"{self.name} started with process id {self.process.pid}")
        async with asyncio.timeout(30):
            while not await self._is_ready():
                await asyncio.sleep(0.05)
        self._record.say(f"{self.name} is ready")

    async def _copy_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self._record.line(f"{self.name} logs: {line.decode(errors='replace').rstrip()}")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._record.say(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        if self._log_task is not None:
            await self._log_task
