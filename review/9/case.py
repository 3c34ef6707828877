"""Case 9: discovery that answers each call after 1.5 s never tells the proxy that backends drain."""

from __future__ import annotations

import asyncio
import time
from collections import Counter

from review.peers.agent import Agent
from review.peers.backend import Backend, Run
from review.peers.clients import Clients
from review.peers.platform import Proxy, settings
from review.peers.record import Record, has_trouble, play

BACKEND_COUNT = 10
DRAINING_COUNT = 3
SLOW_ANSWER_S = 1.5
REQUESTS_PER_S = 50.0
QUIET_S = 2.0  # before the drains
AFTER_S = 14.0
TOLD_AFTER_S = 6.0  # a change counts as told then, whether it arrived or not
DRAIN_GRACE_S = 0.25
SOCKET_SLACK_S = 0.05
LAG_S = 0.1  # for a late event loop of the stand-ins
KINDS = [("quote", 3.0, "safe"), ("schedule", 3.0, "keyed"), ("settle", 6.0, "unsafe")]


async def case(record: Record) -> bool:
    """Play the case, and return whether a draining backend got new requests."""
    runs: list[Run] = []
    zones = ("taipei", "taoyuan", "hsinchu")
    backends = [Backend(f"s-{n}", zones[n % 3], runs) for n in range(BACKEND_COUNT)]
    for backend in backends:
        await backend.start()
    agent = Agent([backend.entry() for backend in backends])
    await agent.start()
    if has_trouble():
        agent.answer_after_s = SLOW_ANSWER_S
        record.add(f"discovery answers each call after {SLOW_ANSWER_S} s")
    proxy = Proxy({"discovery": agent.address, "known": agent.known(), "settings": settings()})
    try:
        await proxy.start()
        await proxy.wait_until_ready()
        clients = Clients(proxy.listen_port)
        until_s = time.monotonic() + QUIET_S + AFTER_S
        calling = asyncio.ensure_future(clients.run(REQUESTS_PER_S, until_s, KINDS))
        await asyncio.sleep(QUIET_S)
        draining = {backend.name for backend in backends[:DRAINING_COUNT]}
        changed_at_s = time.monotonic()
        for name in sorted(draining):
            agent.change(name, state="terminating")
        record.add(f"discovery has it that these drain: {', '.join(sorted(draining))}")
        await calling
    finally:
        await proxy.close()
    record.add_requests(clients.sent)
    record.add_runs(runs)
    due_at_s = changed_at_s + TOLD_AFTER_S + DRAIN_GRACE_S + SOCKET_SLACK_S + LAG_S
    late = [run for run in runs if run.backend in draining and run.at_s > due_at_s]
    for run in late:
        after_s = run.at_s - changed_at_s
        record.add(f"drain: {run.request_id} at {run.backend}, {after_s:.3f} s after discovery had it")
    ends = Counter((sent.end, sent.status) for sent in clients.sent)
    record.say(
        f"{len(late)} of {len(runs)} runs at draining backends; calls to discovery: {agent.watch_count}; "
        f"ends of requests: {dict(ends)}"
    )
    return bool(late)


if __name__ == "__main__":
    play(case, __file__)
