"""The proxy as a separate process, started by the command of the deploy file, and its configuration."""

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

# Includes the two fields that the simulator's settings do not have: connectTimeoutUs and connIdleUs.
LIMITS = {"maxAttempts": 3, "cancel": True, "connectTimeoutUs": 250_000, "connIdleUs": 30_000_000}


def raw_settings(**changes: Any) -> dict[str, Any]:
    """Return settings in the format of the configuration file, including fields unknown to the proxy."""
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
    """Return the default test configuration with these fields replaced."""
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
    """Write a configuration file, and return the environment variables that point a process to it."""
    path = folder / "config.json"
    path.write_text(json.dumps(content))
    return {"NODE_CONFIG": str(path)}


def deploy_command(entry: str = "run") -> list[str]:
    """Return the command of an entry of the deploy file, with the current Python interpreter."""
    deploy_config = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    arguments = str(deploy_config[entry]).split()
    assert arguments[:2] == ["exec", ".venv/bin/python"]
    return [sys.executable, *arguments[2:]]


@asynccontextmanager
async def running_proxy_process(
    env: dict[str, str], max_descriptors: int = 1024
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a proxy by the deploy file's command, with a limit on file descriptors; kill it on exit."""
    pipe = asyncio.subprocess.PIPE
    process = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        f'ulimit -n {max_descriptors}; exec "$@"',
        "sh",
        *deploy_command(),
        cwd=ROOT,
        env={**os.environ, **env},
        stdout=pipe,
        stderr=pipe,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def read_listening_port(
    process: asyncio.subprocess.Process, lines_before: list[str] | None = None
) -> int:
    """Return the listening port that the process logs.

    Args:
        process: A newly started proxy.
        lines_before: Receives the log lines up to and including the one with the port.
    """
    assert process.stderr is not None
    while True:
        line = (await process.stderr.readline()).decode()
        assert line, "the proxy process ended before it logged its listening port"
        if lines_before is not None:
            lines_before.append(line)
        if "listens on" in line:
            return int(line.rsplit(":", 1)[1])


# Each test process starts at a different port, so that parallel ones do not choose the same. Parallel test
# processes have nearby process ids; consecutive ids start this many ports apart, more than one run uses.
PORTS_PER_PROCESS = 397
PORTS = itertools.cycle(range(20_000 + os.getpid() * PORTS_PER_PROCESS % 10_000, 32_000))


def unused_port() -> int:
    """Return a different unused port on each call, outside the range of ports that the system assigns."""
    for port in itertools.islice(PORTS, 12_000):
        with socket.socket() as candidate, contextlib.suppress(OSError):
            candidate.bind(("127.0.0.1", port))
            return port
    raise OSError("no free port between 20000 and 31999")
