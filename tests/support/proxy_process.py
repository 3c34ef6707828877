"""The proxy as a process of its own, started as the deploy file says, and the configuration it is given."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import socket
import sys
import tomllib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from tests.support.units import SECOND_US

ROOT = Path(__file__).parent.parent.parent

# With both fields that the settings of the simulator leave out.
LIMITS = {"maxAttempts": 3, "cancel": True, "connectTimeoutUs": 250_000, "connIdleUs": 30_000_000}


def raw_settings(**changes: Any) -> dict[str, Any]:
    """Return settings in the form of the configuration file, with fields that the proxy does not know."""
    lanes = [
        {
            "name": "read",
            "idempotency": "safe",
            "onTimeUs": 2 * SECOND_US,
            "deadlineUs": 5 * SECOND_US,
            "worth": 1,
        },
        {
            "name": "pay",
            "idempotency": "unsafe",
            "onTimeUs": 2 * SECOND_US,
            "deadlineUs": 5 * SECOND_US,
            "worth": 3,
        },
    ]
    return {
        "lanes": lanes,
        "contract": {"startCapacity": 0.4, "coldUs": 5 * SECOND_US, "fallMultiple": 3.0, "fallUs": SECOND_US},
        "limits": {"maxAttempts": 3, "cancel": True, "somethingNew": 7},
        "registryMode": "subscribe",
        "tickUs": 5000,
        "somethingElse": {"a": 1},
        **changes,
    }


def proxy_config(**changes: Any) -> dict[str, Any]:
    """Return a configuration with these fields in place of the usual ones."""
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": raw_settings(limits=LIMITS),
        **changes,
    }


def write_config(folder: Path, content: object) -> dict[str, str]:
    """Write a configuration file; return the environment that names it to a process."""
    path = folder / "config.json"
    path.write_text(json.dumps(content))
    return {"NODE_CONFIG": str(path)}


def deploy_command(entry: str = "run") -> list[str]:
    """Return the command of an entry of the deploy file, with this interpreter in place of its own."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    words = str(deploy[entry]).split()
    assert words[:2] == ["exec", ".venv/bin/python"]
    return [sys.executable, *words[2:]]


@asynccontextmanager
async def running_proxy_process(
    env: dict[str, str], descriptors: int = 1024
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a proxy as the deploy file says, with at most so many descriptors; kill it at the end."""
    pipe = asyncio.subprocess.PIPE
    started = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        f'ulimit -n {descriptors}; exec "$@"',
        "sh",
        *deploy_command(),
        cwd=ROOT,
        env={**os.environ, **env},
        stdout=pipe,
        stderr=pipe,
    )
    try:
        yield started
    finally:
        if started.returncode is None:
            started.kill()
        await started.wait()


async def read_listening_port(
    process: asyncio.subprocess.Process, lines_before: list[str] | None = None
) -> int:
    """Return the port that the process logs as the one it listens on.

    Args:
        process: A proxy that has just been started.
        lines_before: Gets the lines up to that one.
    """
    assert process.stderr is not None
    while True:
        line = (await process.stderr.readline()).decode()
        assert line, "it ended before it listened"
        if lines_before is not None:
            lines_before.append(line)
        if "listens on" in line:
            return int(line.rsplit(":", 1)[1])


# Each process that runs tests begins at another port. Those that run side by side were started one after the
# other, so their ids are close together: each begins this many ports, more than a run takes, behind the last.
PORTS_PER_PROCESS = 397
PORTS = itertools.cycle(range(20_000 + os.getpid() * PORTS_PER_PROCESS % 10_000, 32_000))


def unused_port() -> int:
    """Return another port each time, outside the range that the system chooses from, so it stays unused."""
    for port in itertools.islice(PORTS, 12_000):
        with socket.socket() as free, contextlib.suppress(OSError):
            free.bind(("127.0.0.1", port))
            return port
    raise OSError("no free port")
