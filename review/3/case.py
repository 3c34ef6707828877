"""Case 3: some peers connect at once and each sends 640 KB of requests with large heads."""

from __future__ import annotations

import asyncio
import collections
import sys
from pathlib import Path

from stand_ins.backend import Backend
from stand_ins.case import is_troubled, run_case
from stand_ins.clients import Clients
from stand_ins.discovery import Agent
from stand_ins.proxy import Proxy
from stand_ins.record import Record

RATE_PER_S = 30.0
DURATION_S = 25.0
WORK_S = 0.1
PEERS = 60
PEERS_FROM_S = 5.0
PEERS_STAY_S = 10.0
HEAD = b"GET /ready HTTP/1.1\r\nHost: x\r\n" + b"a:\r\n" * 3900 + b"\r\n"
HEADS_OF_A_PEER = 40
SHARES = {"quote": 0.44, "schedule": 0.32, "settle": 0.24}


async def flood(port: int, results: collections.Counter[str]) -> None:
    """Connect, send much at once, and go after some time."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError as error:
        results[type(error).__name__] += 1
        return
    try:
        writer.write(HEAD * HEADS_OF_A_PEER)
        async with asyncio.timeout(PEERS_STAY_S):
            first = await reader.readline()
            results[first.decode("latin-1").strip() or "closed"] += 1
            while await reader.read(65_536):
                pass
    except TimeoutError:
        results["went"] += 1
    except OSError as error:
        results[type(error).__name__] += 1
    finally:
        writer.transport.abort()


async def play(record: Record, folder: Path) -> bool:
    """Play the case, and return whether each request got its final answer in its time and 0.5 s."""
    backends = [Backend(f"s-{number}", "taipei", record, WORK_S) for number in range(4)]
    agent = Agent("a", record)
    await agent.start()
    for backend in backends:
        await backend.start()
    agent.change(*(backend.entry("in_service") for backend in backends), rev=41)
    proxy = Proxy("n1", folder, record)
    proxy.write_config(agent.port, agent.whole_list())
    results: collections.Counter[str] = collections.Counter()
    try:
        await proxy.start()
        clients = Clients(proxy.port, record, 7, SHARES)
        load = asyncio.create_task(clients.run(RATE_PER_S, DURATION_S))
        await asyncio.sleep(PEERS_FROM_S)
        if is_troubled():
            record.say(f"{PEERS} peers connect, and send {HEADS_OF_A_PEER * len(HEAD)} bytes each")
            await asyncio.gather(*(flood(proxy.port, results) for _ in range(PEERS)))
            record.say(f"the peers have gone: {dict(results)}")
        await load
    finally:
        await proxy.end()
    return clients.all_answered_in_time()


sys.exit(run_case(Path(__file__).resolve().parent, play))
