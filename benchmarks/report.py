"""Results of benchmark runs, their comparison with the limits, and a table of both."""

from __future__ import annotations

import os
import platform
from dataclasses import astuple, dataclass, fields
from pathlib import Path

from benchmarks.growth_limits import Figures, LimitViolation, limit_violations, limits
from benchmarks.scenarios import Scenario

UNITS = {"peak_memory": (1_000_000, "MB"), "list_bytes": (1_000, "KB"), "cpu_s": (1, "s")}


@dataclass(frozen=True, slots=True)
class Result:
    """Result of one run; for several proxies, the mean of the figures and the sums of the counts."""

    scenario: Scenario
    figures: Figures
    complete_lists: int
    complete_list_bytes: int
    watches: int
    calls_served: int
    settled: bool  # all input had been processed before the measurement; not checked without a clock


def describe_machine() -> dict[str, object]:
    """Return the properties of the machine that the figures depend on."""
    models = (
        line.partition(":")[2].strip()
        for line in Path("/proc/cpuinfo").read_text().splitlines()
        if line.startswith("model name")
    )
    return {
        "processor": next(models, platform.machine()),
        "cores": len(os.sched_getaffinity(0)),
        "load": os.getloadavg()[0],
        "system": f"{platform.system()} {platform.release()}",
        "python": platform.python_version(),
    }


def format_figure(name: str, value: float) -> str:
    """Format a figure for the table, in its display unit."""
    unit_size, unit_name = UNITS.get(name, (1, ""))
    places = 0 if name in ("descriptors", "connections") else 3 if name == "share_served" else 2
    return f"{value / unit_size:.{places}f}{' ' * bool(unit_name)}{unit_name}"


def results_table(results: list[Result]) -> str:
    """Return a table of all figures, each with its limit in brackets, computed from the first result."""
    names = [field.name for field in fields(Figures)]
    lines = ["| " + " | ".join(["endpoints/instances", *names, "complete lists", "watches"]) + " |"]
    lines.append("| --- " * (len(names) + 3) + "|")
    for number, result in enumerate(results):
        limit = limits(results[0].figures, result.scenario.endpoints)
        cells = [result.scenario.name]
        for name, value, bound in zip(names, astuple(result.figures), astuple(limit), strict=True):
            cells.append(format_figure(name, value) + (f" ({format_figure(name, bound)})" if number else ""))
        complete_lists_text = (
            f"{result.complete_lists} of {format_figure('list_bytes', result.complete_list_bytes)}"
        )
        lines.append("| " + " | ".join([*cells, complete_lists_text, str(result.watches)]) + " |")
    return "\n".join(lines)


def violations_by_fleet(
    results: list[Result], ignored: frozenset[str] = frozenset()
) -> dict[str, list[LimitViolation]]:
    """Return the limit violations by fleet; the limits are computed from the first result.

    Args:
        results: The results, that of the fleet of the usual size first.
        ignored: Names of figures that are not checked.
    """
    base, *rows = results
    found = {
        r.scenario.name: limit_violations(r.figures, limits(base.figures, r.scenario.endpoints), ignored)
        for r in rows
    }
    return {name: violations for name, violations in found.items() if violations}
