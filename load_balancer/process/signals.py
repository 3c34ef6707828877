"""Handling of stop signals before the event loop runs, and of stop and reload signals after it.

State: the signal handlers and the signal mask of the process. `command.main` calls `exit_on_early_signals`.
`server.serve` then installs its own handlers, and blocks the signals when it has finished.
"""

from __future__ import annotations

import signal
import sys
from types import FrameType
from typing import NoReturn

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)  # each starts the graceful shutdown
RELOAD_SIGNAL = signal.SIGHUP  # reloads the configuration


def exit_on_early_signals() -> None:
    """Install handlers that exit with code 0 on a stop signal.

    They cover the time before the event loop runs, in which the proxy accepts no connections. `server.serve`
    replaces them with its own handlers.
    """
    for stop_signal in STOP_SIGNALS:
        signal.signal(stop_signal, _exit_before_serving)


def block_signals() -> None:
    """Block the stop and reload signals between the end of the event loop and the exit of the process.

    The event loop removes its handlers when it ends. A further signal before the exit would then kill the
    process, and a clean exit would be reported as a crash.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP_SIGNALS, RELOAD_SIGNAL))


def _exit_before_serving(_number: int, _frame: FrameType | None) -> NoReturn:
    """Exit with code 0; the arguments are those of a signal handler."""
    sys.exit(0)
