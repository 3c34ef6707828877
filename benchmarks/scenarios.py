"""Scenarios of the benchmark: the fleet, the steps in order and the settings of the proxy."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

SECOND_US = 1_000_000
LATENCY_OBJECTIVE_SHARE = 0.5  # of the deadline
SLOW_START_US = 5 * SECOND_US
DRAIN_SHARE = 0.1  # of the duration, the time from `terminating` to `terminated`
MISSED_SHARE = 0.2  # of the duration, how long a watch stays silent in a scenario without a clock
REPLACED_SHARE = 0.5  # of the endpoints, over the whole scenario


class Step(Enum):
    """A step of a scenario."""

    CALL = "call"  # a client sends a request
    REPLACE = "replace"  # an endpoint starts draining, and a new one is added
    REMOVE = "remove"  # the endpoint that has drained longest is removed
    MOVE = "move"  # discovery moves to another address; the proxy gets SIGHUP
    SILENCE = "silence"  # the open watch stays established and sends nothing more
    WAIT_FOR_WATCH = "watched"  # wait until the proxy has opened another watch


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fleet and the events in it; one row of the results."""

    endpoints: int
    instances: int
    number: int = 0  # of the proxy in the fleet, counted from the middle one; each has its own seed
    calls: int = 300
    seconds: float | None = 10.0  # None: no clock, each step follows when the previous one has ended
    knows_list: bool = True  # whether the proxy starts with a cached endpoint list
    moves_at: tuple[float, ...] = ()  # fractions of the duration
    silence_at: float | None = None
    deadline_s: float = 2.0
    service_s: float = 0.01  # time that an endpoint takes for a response

    @property
    def name(self) -> str:
        """Name in tables and messages, `endpoints/instances`."""
        return f"{self.endpoints}/{self.instances}"

    def steps(self) -> list[tuple[float, Step]]:
        """Return all steps in order, each with its time as a fraction of the duration."""
        replacement_count = round(REPLACED_SHARE * self.endpoints)
        drain_times = [(n + 0.5) / replacement_count * (1.0 - DRAIN_SHARE) for n in range(replacement_count)]
        steps = [((n + 0.5) / self.calls, Step.CALL) for n in range(self.calls)]
        steps += [(at, Step.REPLACE) for at in drain_times]
        steps += [(at + DRAIN_SHARE, Step.REMOVE) for at in drain_times]
        steps += [(at, Step.MOVE) for at in self.moves_at]
        if self.silence_at is not None:
            steps.append((self.silence_at, Step.SILENCE))
            if self.seconds is None:
                # Without a clock, the remaining steps would end before the silence is detected.
                steps.append((self.silence_at + MISSED_SHARE, Step.WAIT_FOR_WATCH))
        return sorted(steps, key=lambda step: step[0])


def settings(scenario: Scenario) -> dict[str, object]:
    """Return the settings of one proxy of the fleet, in the JSON format of the configuration."""
    lane = {"name": "read", "idempotency": "safe", "worth": 1.0, "lateValue": 0.0}
    times = {
        "onTimeUs": round(LATENCY_OBJECTIVE_SHARE * scenario.deadline_s * SECOND_US),
        "deadlineUs": round(scenario.deadline_s * SECOND_US),
    }
    # Slow start depends on elapsed time, so a scenario without a clock disables it.
    slow_start_us = SLOW_START_US if scenario.seconds is not None else 0
    return {
        "lanes": [{**lane, **times}],
        "contract": {"startCapacity": 0.4, "coldUs": slow_start_us, "fallMultiple": 3.0, "fallUs": 1_500_000},
        "limits": {
            "maxAttempts": 3,
            "cancel": True,
            "connectTimeoutUs": 250_000,
            "connIdleUs": 30 * SECOND_US,
        },
        "registryMode": "automatic",
        "tickUs": 5_000,
        "instances": scenario.instances,
        "index": (scenario.instances // 2 + scenario.number) % scenario.instances,
    }


FLEET_SIZES = ((200, 34), (3_200, 544), (3_200, 34))
STEADY = Scenario(*FLEET_SIZES[0])
SCENARIOS = {
    "steady": STEADY,
    "unknown": replace(STEADY, knows_list=False),
    "move": replace(STEADY, moves_at=(0.3,)),
    "moves": replace(STEADY, moves_at=(0.2, 0.4, 0.6)),
    "silence": replace(STEADY, silence_at=0.5),
    "both": replace(STEADY, moves_at=(0.3,), silence_at=0.5),
}
