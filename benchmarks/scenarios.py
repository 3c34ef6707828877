"""What happens in a play: its fleet, its steps in order and the settings that its proxy is given."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

SECOND_US = 1_000_000  # microseconds
LATENCY_OBJECTIVE_SHARE = 0.5  # of the deadline
SLOW_START_US = 5 * SECOND_US
DRAIN_SHARE = 0.1  # of the play, the time from `terminating` to `terminated`
MISSED_SHARE = 0.2  # of the play, what a silent watch misses where no clock tells it
REPLACED_SHARE = 0.5  # of the endpoints, over the play


class Step(Enum):
    """What happens next in a play."""

    CALL = "call"
    REPLACE = "replace"  # an endpoint begins to drain, and a new one is in service
    REMOVE = "remove"  # the one that has drained longest is gone
    MOVE = "move"  # discovery is at another address, told by SIGHUP
    SILENCE = "silence"  # the open watch says nothing any more
    WATCHED = "watched"  # the proxy has opened another watch


@dataclass(frozen=True, slots=True)
class Scenario:
    """One row: a fleet and what happens in it."""

    endpoints: int
    instances: int
    number: int = 0  # which proxy of the fleet, counted from the middle one; each has another seed
    calls: int = 300
    seconds: float | None = 10.0  # None: by no clock, each step once the one before is over
    knows_list: bool = True  # does the proxy start with the list as last known?
    moves_at: tuple[float, ...] = ()  # as shares of the play
    silence_at: float | None = None
    deadline_s: float = 2.0
    service_s: float = 0.01  # that an endpoint takes for a call

    @property
    def name(self) -> str:
        """The row's name in tables and messages, `endpoints/instances`."""
        return f"{self.endpoints}/{self.instances}"

    def steps(self) -> list[tuple[float, Step]]:
        """Return all steps in order, each with its place in the play, from 0 to 1."""
        replaced = round(REPLACED_SHARE * self.endpoints)
        drained = [(n + 0.5) / replaced * (1.0 - DRAIN_SHARE) for n in range(replaced)]
        steps = [((n + 0.5) / self.calls, Step.CALL) for n in range(self.calls)]
        steps += [(at, Step.REPLACE) for at in drained]
        steps += [(at + DRAIN_SHARE, Step.REMOVE) for at in drained]
        steps += [(at, Step.MOVE) for at in self.moves_at]
        if self.silence_at is not None:
            steps.append((self.silence_at, Step.SILENCE))
            if self.seconds is None:  # with no clock the rest would be over before the silence is noticed
                steps.append((self.silence_at + MISSED_SHARE, Step.WATCHED))
        return sorted(steps, key=lambda step: step[0])


def settings(scenario: Scenario) -> dict[str, object]:
    """Return the settings that one proxy of the fleet is given, in the configuration's JSON form."""
    lane = {"name": "read", "idempotency": "safe", "worth": 1.0, "lateValue": 0.0}
    times = {
        "onTimeUs": round(LATENCY_OBJECTIVE_SHARE * scenario.deadline_s * SECOND_US),
        "deadlineUs": round(scenario.deadline_s * SECOND_US),
    }
    # Slow start is a matter of time: a play by no clock leaves it out.
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
