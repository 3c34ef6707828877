"""Judges the record of a run by the rules of the protocol. The module has no I/O and no clock."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from benchmarks.soak.records import (
    Execution,
    PeerReport,
    ProcessEnd,
    ProcessLife,
    RequestEnd,
    RunRecord,
    SentRequest,
)

ANSWER_SLACK_S = 0.55  # a final answer is due half a second after the deadline; 50 ms are the sockets' slack
LEAVE_GRACE_S = 0.1  # an attempt may begin this long after its client has left
CLOCK_SLACK_S = 0.05  # between a write of the proxy and its receipt at the stand-in
REFUSALS = (429, 503)
UNSAFE_KIND = "pay"
MAX_LOG_LINES = 2_000  # of one run


class Rule(StrEnum):
    """A rule that a run may break."""

    MEMORY = "memory"  # the process passed its memory limit
    ENDED = "ended"  # the process ended by itself, or not in time after SIGTERM
    LOST = "lost"  # a request was taken and got no final answer in time
    FOREIGN = "foreign"  # a request was served with a body that was not made for it
    DUPLICATE = "duplicate"  # a request that must not run twice did
    LEFT = "left"  # an attempt began after its client had left
    OWED = "owed"  # a peer got neither an error nor a close in time
    LOG = "log"  # the log holds a traceback, or too many lines


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule, with what shows it."""

    rule: Rule
    detail: str


def violations(record: RunRecord) -> list[Violation]:
    """Return the broken rules of a run, in the order of `Rule`."""
    executions: dict[str, list[Execution]] = defaultdict(list)
    for execution in record.executions:
        executions[execution.request_id].append(execution)
    left_at_s = _last_use_s(record)
    found = [violation for life in record.lives for violation in _life_violations(life)]
    for report in record.reports:
        lag_s = max(report.longest_lag_s, record.longest_lag_s)
        for request in report.requests:
            found += _request_violations(request, executions[request.id], record.lives, lag_s)
            if request.end is RequestEnd.LEFT:
                found += _late_attempts(request, left_at_s[request.id], executions[request.id], lag_s)
        found += _stay_violations(report, record.lives)
    if record.traceback_count:
        found.append(Violation(Rule.LOG, f"{record.traceback_count} tracebacks"))
    if record.log_line_count > MAX_LOG_LINES:
        found.append(Violation(Rule.LOG, f"{record.log_line_count} lines"))
    return found


def _life_violations(life: ProcessLife) -> Iterator[Violation]:
    if life.end is ProcessEnd.MEMORY:
        yield Violation(Rule.MEMORY, f"{life.peak_bytes} bytes; last line of the log: {life.last_line}")
    elif life.end is ProcessEnd.KILLED_LATE:
        yield Violation(Rule.ENDED, "still running when SIGKILL followed SIGTERM")
    elif life.end is ProcessEnd.EXIT and (life.terminated_at_s is None or life.exit_code != 0):
        yield Violation(Rule.ENDED, f"exit code {life.exit_code}")


def _request_violations(
    request: SentRequest, executions: list[Execution], lives: list[ProcessLife], lag_s: float
) -> Iterator[Violation]:
    if request.kind == UNSAFE_KIND and len(executions) > 1:
        times = ", ".join(f"{execution.ran_at_s - request.sent_at_s:.3f}" for execution in executions)
        yield Violation(Rule.DUPLICATE, f"{request.id} ran {len(executions)} times, at {times} s")
    if request.end is RequestEnd.LEFT:
        return
    if not request.has_own_body:
        yield Violation(Rule.FOREIGN, f"{request.id} got a body that was not made for it")
    if is_lost(request, executions, lives, lag_s):
        took_s = request.ended_at_s - request.sent_at_s
        yield Violation(
            Rule.LOST,
            f"{request.id} ({request.kind}, {request.deadline_s} s): {request.end} after {took_s:.3f} s, "
            f"status {request.status}, {len(executions)} executions; {_place(request, lives)}",
        )


def _place(request: SentRequest, lives: list[ProcessLife]) -> str:
    """Return where the sending of a request lies in the life of its process."""
    for life in lives:
        if life.started_at_s <= request.sent_at_s <= life.ended_at_s:
            place = f"sent {life.ended_at_s - request.sent_at_s:.3f} s before its process {life.end}"
            if life.terminated_at_s is None:
                return place
            return f"{place}, {request.sent_at_s - life.terminated_at_s:.3f} s after SIGTERM"
    return "sent while no process ran"


def _last_use_s(record: RunRecord) -> dict[str, float]:
    """Return the time at which the last client that used an id stopped waiting, by id."""
    last_use_s: dict[str, float] = {}
    for report in record.reports:
        for request in report.requests:
            last_use_s[request.id] = max(request.ended_at_s, last_use_s.get(request.id, 0.0))
    return last_use_s


def _late_attempts(
    request: SentRequest, left_at_s: float, executions: list[Execution], lag_s: float
) -> Iterator[Violation]:
    for execution in executions:
        after_s = execution.began_at_s - left_at_s
        if after_s > LEAVE_GRACE_S + CLOCK_SLACK_S + lag_s:
            yield Violation(Rule.LEFT, f"{request.id}: an attempt {after_s:.3f} s after its client left")
            return


def is_lost(
    request: SentRequest, executions: list[Execution], lives: list[ProcessLife], lag_s: float
) -> bool:
    """Return whether the proxy has lost a request.

    Args:
        request: The request.
        executions: Its executions.
        lives: The proxy processes of the run. What an outright kill cuts off is not lost.
        lag_s: The longest time by which the stand-ins were late themselves.
    """
    due_at_s = request.sent_at_s + request.deadline_s + ANSWER_SLACK_S + lag_s
    for life in lives:
        was_killed = life.end in (ProcessEnd.PLANNED_KILL, ProcessEnd.MEMORY)
        if was_killed and life.started_at_s <= request.sent_at_s <= life.ended_at_s <= due_at_s:
            return False
    if request.end is RequestEnd.ANSWERED:
        return request.ended_at_s > due_at_s
    if request.end is RequestEnd.CLOSED:
        # A close without an answer is a failure and no loss if nothing was forwarded for the request.
        return bool(executions)
    return request.end is RequestEnd.SILENT


def _stay_violations(report: PeerReport, lives: list[ProcessLife]) -> Iterator[Violation]:
    late: dict[str, list[float]] = defaultdict(list)
    for stay in report.stays:
        due_at_s = stay.connected_at_s + stay.limit_s + CLOCK_SLACK_S + report.longest_lag_s
        ended_at_s = stay.ended_at_s if stay.ended_at_s is not None else report.stopped_at_s
        if ended_at_s > due_at_s and _lived_through(lives, stay.connected_at_s, due_at_s):
            late[stay.kind].append(ended_at_s - stay.connected_at_s)
    for kind, stays_s in late.items():
        yield Violation(Rule.OWED, f"{len(stays_s)} peers ({kind}), the longest {max(stays_s):.2f} s")


def _lived_through(lives: list[ProcessLife], from_s: float, until_s: float) -> bool:
    return any(
        life.listening_at_s is not None and life.listening_at_s <= from_s and until_s <= life.ended_at_s
        for life in lives
    )


def served_share(record: RunRecord) -> float:
    """Return the share of the sound requests that were served; 1 without any."""
    sound = [
        request
        for report in record.reports
        for request in report.requests
        if request.end not in (RequestEnd.LEFT, RequestEnd.NOT_TAKEN)
    ]
    return sum(request.status == 200 for request in sound) / len(sound) if sound else 1.0
