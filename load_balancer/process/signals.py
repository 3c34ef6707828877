"""The signals that the process answers, from its first moment to its exit.

State: the signal handlers and the signal mask of the process. `__main__.main` calls `exit_on_early_signals`,
then `server.serve` installs its own handlers and blocks the signals once its event loop has ended.
"""

from __future__ import annotations

import signal
import sys
from types import FrameType
from typing import NoReturn

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)  # each begins the graceful shutdown
RELOAD_SIGNAL = signal.SIGHUP  # the configuration is read again


def exit_on_early_signals() -> None:
    """End the process with code 0 at a stop signal that comes before the event loop runs.

    Nothing is accepted until then. `server.serve` replaces these handlers by its own.
    """
    for stop_signal in STOP_SIGNALS:
        signal.signal(stop_signal, _exit_before_serving)


def block_signals() -> None:
    """Hold back all signals that the process answers, from the end of the event loop to the exit.

    The handlers go with the event loop: one more signal between its end and the exit would kill the process,
    and a clean end would be reported as a crash.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP_SIGNALS, RELOAD_SIGNAL))


def _exit_before_serving(_number: int, _frame: FrameType | None) -> NoReturn:
    """End the process, as a signal handler."""
    sys.exit(0)
