"""Draws the plan of a run from its seed: limits, crowds, faults on the way to endpoints, signals and shims.

The module has no I/O and no clock. The same seed always gives the same plan.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import StrEnum


class PeerKind(StrEnum):
    """What the peers of a crowd do."""

    SOUND = "sound"  # requests of all sizes and classes, at a steady rate
    SOUND_LARGE = "sound large"  # each client sends requests of 64 KB, one after the other
    SOUND_SLOW = "sound slow"  # complete requests in small pieces over some tenths of a second
    HALF_BODY = "half body"  # half of a request of 64 KB, then nothing
    SLOW_BODY = "slow body"  # a request of 64 KB that never becomes complete, in small pieces
    MANY_FIELDS = "many fields"  # half of a head of thousands of fields, then nothing
    WHOLE_FIELDS = "whole fields"  # complete invalid heads of thousands of fields
    TINY_PIECES = "tiny pieces"  # a head byte by byte
    TINY_CHUNKS = "tiny chunks"  # a body in chunks of one byte that never ends
    SENDS_AHEAD = "sends ahead"  # an open request, and a megabyte of tiny pieces behind it
    IDLE = "idle"  # nothing
    FLOOD = "flood"  # much at once that is no HTTP
    EXPECTS = "expects"  # asks for a 100 response and sends no body
    UNSOUND = "unsound"  # invalid requests at full speed on one connection, under ever new names
    CHECKS = "checks"  # readiness checks at full speed on one connection
    DOES_NOT_READ = "does not read"  # requests whose responses are never read
    LEAVES = "leaves"  # unsafe requests whose client leaves, and sends the same id again
    LEAVES_UNREAD = "leaves unread"  # many requests at once, and a close over them


class ConnectionFault(StrEnum):
    """Fault of one connection to an endpoint."""

    NONE = "none"
    LATE = "late"  # comes up late
    RESET = "reset"  # is reset within the response
    STALL = "stall"  # delivers nothing after the first bytes of the response
    TRICKLE = "trickle"  # delivers the response in small pieces
    GARBAGE = "garbage"  # delivers bytes that are no response
    MANY_FIELDS = "many fields"  # delivers a response head of thousands of fields
    ENDLESS = "endless"  # delivers a body that never ends


class PlannedSignal(StrEnum):
    """A signal to the proxy, or a series of one."""

    RELOADS = "reloads"  # SIGHUP several times, with another address of discovery
    UNREADABLE_RELOAD = "unreadable reload"  # SIGHUP while the configuration cannot be read
    KILL = "kill"  # SIGKILL, and a new process
    RESTART = "restart"  # SIGTERM twice, and a new process after the end of the old one


class Effort(StrEnum):
    """Whether a run plays a crowd at the least memory, and how large it is."""

    USUAL = "usual"
    CROWD = "crowd"


@dataclass(frozen=True, slots=True)
class Crowd:
    """Peers of one kind.

    Attributes:
        kind: What they do.
        count: The number of connections that they keep open.
        from_s: The time at which they begin, from the beginning of the run.
        until_s: The time at which they stop.
    """

    kind: PeerKind
    count: int
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class SignalAt:
    """A signal and its time from the beginning of the run, in seconds."""

    signal: PlannedSignal
    at_s: float


@dataclass(frozen=True, slots=True)
class Plan:
    """All that happens in one run.

    Attributes:
        seed: The seed that it was drawn from.
        seconds: The time from the first readiness to the final SIGTERM.
        memory_mb: The memory limit of the configuration.
        sockets: The descriptor limit of the configuration.
        endpoint_count: The number of endpoints.
        work_s: The time that an endpoint works on a request.
        sound_rate_per_s: The rate of the sound clients that are always there.
        crowds: The other peers.
        fault_shares: The share of the connections to endpoints that has each fault.
        signals: The signals, in order.
        clock_steps: Steps of the wall clock: time from the start of the process, and change, both in seconds.
    """

    seed: int
    seconds: float
    memory_mb: int
    sockets: int
    endpoint_count: int
    work_s: float
    sound_rate_per_s: float
    crowds: tuple[Crowd, ...]
    fault_shares: dict[ConnectionFault, float] = field(default_factory=dict)
    signals: tuple[SignalAt, ...] = ()
    clock_steps: tuple[tuple[float, float], ...] = ()


# Pairs of memory and descriptors that the platform's terms allow.
LEAST_MEMORY = (32, 1024)
LIMIT_PAIRS = (LEAST_MEMORY, LEAST_MEMORY, (32, 256), (48, 512), (64, 1024), (192, 1024))
# Peers of all kinds together, with and without a crowd.
CROWD_SIZE = (300, 760)
FEW_SIZE = (2, 60)
SINGLE_PEERS = (PeerKind.UNSOUND, PeerKind.CHECKS)
FEW_PEERS = {
    PeerKind.LEAVES: 10,
    PeerKind.LEAVES_UNREAD: 10,
    PeerKind.SOUND_SLOW: 20,
    PeerKind.FLOOD: 20,
    PeerKind.SENDS_AHEAD: 60,
    PeerKind.DOES_NOT_READ: 60,
    PeerKind.WHOLE_FIELDS: 60,
    PeerKind.TINY_CHUNKS: 100,
}
# Clients hold no more than a third of the descriptors for their requests.
MAX_SOUND_SHARE = 0.32
ALWAYS_PLAYED = (PeerKind.LEAVES,)


def draw_plan(seed: int, seconds: float, effort: Effort = Effort.USUAL) -> Plan:
    """Return the plan of a run.

    Args:
        seed: The seed.
        seconds: The time from the first readiness to the final SIGTERM.
        effort: Whether to play a crowd with the least memory in any case.
    """
    rng = random.Random(seed)
    has_crowd = effort is Effort.CROWD or rng.random() < 0.7
    memory_mb, sockets = LEAST_MEMORY if effort is Effort.CROWD else rng.choice(LIMIT_PAIRS)
    return Plan(
        seed=seed,
        seconds=seconds,
        memory_mb=memory_mb,
        sockets=sockets,
        endpoint_count=rng.choice((4, 8, 16, 32)),
        work_s=rng.choice((0.02, 0.1, 0.3)),
        sound_rate_per_s=rng.choice((10.0, 25.0, 60.0)),
        crowds=_draw_crowds(rng, seconds, sockets, has_crowd=has_crowd),
        fault_shares=_draw_faults(rng),
        signals=_draw_signals(rng, seconds),
        clock_steps=_draw_clock_steps(rng, seconds),
    )


def _draw_crowds(rng: random.Random, seconds: float, sockets: int, *, has_crowd: bool) -> tuple[Crowd, ...]:
    kinds = [kind for kind in PeerKind if kind is not PeerKind.SOUND]
    chosen = {*ALWAYS_PLAYED, *rng.sample(kinds, rng.randint(1, 4))}
    size = rng.randint(*CROWD_SIZE) if has_crowd else rng.randint(*FEW_SIZE)
    # Sorted, as the order of a set of strings differs from one process to the next.
    return tuple(
        _draw_crowd(rng, kind, seconds, sockets, max_count=max(1, size // max(1, len(chosen) - 1)))
        for kind in sorted(chosen)
    )


def _draw_crowd(rng: random.Random, kind: PeerKind, seconds: float, sockets: int, *, max_count: int) -> Crowd:
    count = max_count
    if kind in SINGLE_PEERS:
        count = 1
    elif kind in FEW_PEERS:
        count = min(count, FEW_PEERS[kind])
    if kind is PeerKind.SOUND_LARGE:
        count = min(count, int(MAX_SOUND_SHARE * sockets))
    from_s = rng.choice((0.0, 0.0, rng.uniform(0.0, 0.5 * seconds)))
    return Crowd(kind, count, from_s, rng.choice((seconds, rng.uniform(0.6, 1.0) * seconds)))


def _draw_faults(rng: random.Random) -> dict[ConnectionFault, float]:
    faults = [fault for fault in ConnectionFault if fault is not ConnectionFault.NONE]
    return {fault: rng.uniform(0.01, 0.08) for fault in rng.sample(faults, rng.randint(0, 4))}


def _draw_signals(rng: random.Random, seconds: float) -> tuple[SignalAt, ...]:
    count = rng.choice((0, 1, 2))
    signals = [
        SignalAt(rng.choice(list(PlannedSignal)), rng.uniform(0.15, 0.7) * seconds) for _ in range(count)
    ]
    return tuple(sorted(signals, key=lambda planned: planned.at_s))


def _draw_clock_steps(rng: random.Random, seconds: float) -> tuple[tuple[float, float], ...]:
    if rng.random() < 0.7:
        return ()
    return tuple((rng.uniform(1.0, seconds), rng.choice((-3600.0, -5.0, 5.0, 3600.0))) for _ in range(2))
