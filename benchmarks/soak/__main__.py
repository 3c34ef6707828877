"""Command line of the soak test.

    python -m benchmarks.soak --seeds 1-50                   # fifty runs of 12 s, one after the other
    python -m benchmarks.soak --seeds 7 --effort crowd       # a crowd at the least memory in any case
    python -m benchmarks.soak --seeds 1-50 --seconds 30 --json result.json --logs found

Each run starts a proxy process by the deploy file's command, plays the faults that its seed gives, and kills
the process once its peak of resident memory exceeds its limit. Exit code: 0 if no rule was broken, 1 if one
was, 2 if a run could not be played.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path

from benchmarks.report import describe_machine
from benchmarks.soak.plan import Effort, Plan, draw_plan
from benchmarks.soak.records import RunRecord
from benchmarks.soak.rules import Violation, served_share, violations
from benchmarks.soak.run import NeverReadyError, play

MIB = 1024 * 1024
SHOWN_VIOLATIONS = 4


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one run."""

    plan: Plan
    violations: list[Violation]
    peak_share: float
    ready_bytes: int
    served_share: float
    request_count: int
    stay_count: int
    statuses: dict[int, int]


def summarize(plan: Plan, record: RunRecord) -> Result:
    """Return the result of a run."""
    requests = [request for report in record.reports for request in report.requests]
    return Result(
        plan=plan,
        violations=violations(record),
        peak_share=max(life.peak_bytes for life in record.lives) / (plan.memory_mb * MIB),
        ready_bytes=max(life.ready_bytes for life in record.lives),
        served_share=served_share(record),
        request_count=len(requests),
        stay_count=sum(len(report.stays) for report in record.reports),
        statuses=dict(Counter(request.status for request in requests)),
    )


def result_lines(result: Result) -> list[str]:
    """Return the lines that show the result of one run."""
    plan = result.plan
    crowds = ", ".join(f"{crowd.count} {crowd.kind}" for crowd in plan.crowds)
    signals = ", ".join(f"{planned.signal} at {planned.at_s:.1f} s" for planned in plan.signals) or "none"
    lines = [
        f"seed {plan.seed}: {plan.memory_mb} MB, {plan.sockets} sockets; {crowds}; signals: {signals}",
        f"  peak {result.peak_share:.2f} of the limit, {result.ready_bytes / MIB:.1f} MiB when ready; "
        f"served {result.served_share:.3f} of {result.request_count} requests; "
        f"{result.stay_count} stays; statuses {result.statuses}",
    ]
    by_rule = Counter(violation.rule.value for violation in result.violations)
    lines += [f"  BROKEN {rule}: {count}" for rule, count in by_rule.items()]
    lines += [
        f"    {violation.rule}: {violation.detail}" for violation in result.violations[:SHOWN_VIOLATIONS]
    ]
    return lines


def read_seeds(text: str) -> range:
    """Return the seeds of a range such as `1-50`, or of a single number."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main() -> int:
    """Play the runs of the command line, and return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.soak", description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=read_seeds, default=range(1, 2), help="a number or a range, 1-50")
    parser.add_argument("--seconds", type=float, default=12.0, help="length of each run")
    parser.add_argument("--effort", type=Effort, choices=list(Effort), default=Effort.USUAL)
    parser.add_argument("--json", type=Path, help="file for the results")
    parser.add_argument("--logs", type=Path, help="folder for the logs of the proxies")
    options = parser.parse_args()
    results: list[Result] = []
    for seed in options.seeds:
        plan = draw_plan(seed, options.seconds, options.effort)
        try:
            results.append(summarize(plan, play(plan, options.logs)))
        except (NeverReadyError, OSError) as error:
            print(f"seed {seed} could not be played: {error}", file=sys.stderr)
            return 2
        print("\n".join(result_lines(results[-1])), flush=True)
    broken = [result.plan.seed for result in results if result.violations]
    worst = max(result.peak_share for result in results)
    print(
        f"{len(results)} runs, {len(broken)} with broken rules {broken}; worst peak {worst:.2f} of the limit"
    )
    if options.json:
        fields = {"machine": describe_machine(), "results": [asdict(result) for result in results]}
        options.json.write_text(json.dumps(fields, indent=1))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
