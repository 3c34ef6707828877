"""The whole proxy, including its start and graceful shutdown, in the test's own process."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from load_balancer.process.config import ConfigSource
from load_balancer.process.server import serve_until_stopped
from tests.support.proxy_process import write_config
from tests.support.stepped_clock import SteppedClock

SHUTDOWN_STEP_S = 0.05


@asynccontextmanager
async def serving_in_process(folder: Path, port: int, config: dict[str, Any]) -> AsyncIterator[SteppedClock]:
    """Run a proxy with this configuration on this port, on a stepped clock; shut it down with SIGTERM."""
    source = ConfigSource(write_config(folder, {**config, "listen": f"127.0.0.1:{port}"}))
    clock = SteppedClock()
    serving = asyncio.ensure_future(serve_until_stopped(source.read(), source))
    await asyncio.sleep(0)
    try:
        yield clock
    finally:
        if not serving.done():  # a finished proxy handles no signals: SIGTERM would end the test process
            os.kill(os.getpid(), signal.SIGTERM)
        while not serving.done():
            clock.advance(SHUTDOWN_STEP_S)
            await asyncio.sleep(0)
        await serving
