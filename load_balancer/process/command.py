"""The command that runs the proxy; `__main__` calls it.

Exit codes: 0 after SIGTERM or SIGINT; 2 if the configuration is invalid, with the reason as one line on
standard error.
"""

from __future__ import annotations

import asyncio
import logging
import os
import sys

from load_balancer.errors import ConfigError
from load_balancer.process.config import ConfigSource
from load_balancer.process.server import serve
from load_balancer.process.signals import exit_on_early_signals


def main() -> int:
    """Read the configuration, serve until a stop signal arrives, and return the exit code."""
    exit_on_early_signals()
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        source = ConfigSource(os.environ)
        config = source.read()
    except ConfigError as error:
        print(f"load_balancer: {error}", file=sys.stderr)
        return 2
    asyncio.run(serve(config, source))
    return 0
