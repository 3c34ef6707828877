"""Runs the proxy with shims of its wall clock and of its configuration file; started by `supervisor`.

    python -B -m benchmarks.soak.shimmed_proxy

`SOAK_CLOCK_STEPS` holds steps of the wall clock, `seconds:change` each, separated by commas. While the file
`unreadable` lies beside the configuration, reading the configuration fails with EIO, as on a broken disk.
"""

from __future__ import annotations

import errno
import os
import runpy
import time
from pathlib import Path

STEPS_VARIABLE = "SOAK_CLOCK_STEPS"


def install_clock_shim(steps: list[tuple[float, float]]) -> None:
    """Step the wall clock of this process at the given times.

    Args:
        steps: The seconds from now and the change in seconds of each step.
    """
    real_time_ns, started_at_s = time.time_ns, time.monotonic()

    def stepped_time_ns() -> int:
        elapsed_s = time.monotonic() - started_at_s
        return real_time_ns() + sum(round(change_s * 1e9) for at_s, change_s in steps if at_s <= elapsed_s)

    time.time_ns = stepped_time_ns


def install_disk_shim(config: Path) -> None:
    """Make reads of the configuration fail while the file `unreadable` lies beside it."""
    real_read_bytes = Path.read_bytes

    def read_bytes(path: Path) -> bytes:
        if path == config and path.with_name("unreadable").exists():
            raise OSError(errno.EIO, os.strerror(errno.EIO), str(path))
        return real_read_bytes(path)

    Path.read_bytes = read_bytes  # type: ignore[method-assign, assignment]


def read_steps(text: str) -> list[tuple[float, float]]:
    """Return the steps in the format of `SOAK_CLOCK_STEPS`."""
    pairs = [step.partition(":") for step in text.split(",") if step]
    return [(float(at_s), float(change_s)) for at_s, _, change_s in pairs]


if __name__ == "__main__":
    install_clock_shim(read_steps(os.environ.get(STEPS_VARIABLE, "")))
    install_disk_shim(Path(os.environ["NODE_CONFIG"]))
    runpy.run_module("load_balancer", run_name="__main__", alter_sys=True)
