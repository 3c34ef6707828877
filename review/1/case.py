"""Case 1: one of eight backends sends answers that never end, in small chunks."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from stand_ins.backend import Backend
from stand_ins.case import is_troubled, run_case
from stand_ins.clients import Clients
from stand_ins.discovery import Agent
from stand_ins.messages import Message
from stand_ins.proxy import Proxy
from stand_ins.record import Record

RATE_PER_S = 40.0
DURATION_S = 25.0
WORK_S = 0.1
SPOILT_FROM_S = 5.0
SPOILT_UNTIL_S = 20.0
SHARES = {"quote": 0.44, "schedule": 0.32, "settle": 0.24}
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"1\r\na\r\n" * 4096


class SpoiltBackend(Backend):
    """A backend that for some time sends answers that never end."""

    is_spoilt = False
    endless_answers = 0

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer; while spoilt, send chunk after chunk until the proxy closes the connection."""
        if not self.is_spoilt:
            await super().answer(message, writer)
            return
        await asyncio.sleep(self.work_s)
        self.endless_answers += 1
        self.record.line(f"{self.uid} begins an endless answer to {message.headers['req-id']}")
        writer.write(HEAD)
        while True:  # ends with the connection
            writer.write(CHUNKS)
            await writer.drain()


async def play(record: Record, folder: Path) -> bool:
    """Play the case, and return whether each request got its final answer in its time and 0.5 s."""
    backends = [SpoiltBackend(f"s-{number}", "taipei", record, WORK_S) for number in range(8)]
    agent = Agent("a", record)
    await agent.start()
    for backend in backends:
        await backend.start()
    agent.change(*(backend.entry("in_service") for backend in backends), rev=41)
    proxy = Proxy("n1", folder, record)
    proxy.write_config(agent.port, agent.whole_list())
    spoilt = backends[0]
    try:
        await proxy.start()
        clients = Clients(proxy.port, record, 7, SHARES)
        load = asyncio.create_task(clients.run(RATE_PER_S, DURATION_S))
        await asyncio.sleep(SPOILT_FROM_S)
        spoilt.is_spoilt = is_troubled()
        await asyncio.sleep(SPOILT_UNTIL_S - SPOILT_FROM_S)
        spoilt.is_spoilt = False
        await load
    finally:
        await proxy.end()
    record.say(f"endless answers: {spoilt.endless_answers}")
    return clients.all_answered_in_time()


sys.exit(run_case(Path(__file__).resolve().parent, play))
