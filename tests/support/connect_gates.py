"""Gates that block connects to endpoints until a test opens them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from load_balancer.net.addresses import EndpointAddress
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.net.upstream.upstream_connection import UpstreamConnection
from tests.support.stepped_clock import SteppedClock, run_loop_turns, wait_until


class ConnectGates:
    """Blocks each connect of a pool before it begins, so that connect time-outs do not run meanwhile.

    Attributes:
        gates: One gate for each connect, in the order in which the connects were started.
        clock: The event loop's clock, moved by `advance`.
    """

    def __init__(self, pool: ConnectionPool, earlier_connects_s: Iterable[float] = ()) -> None:
        self.gates: list[asyncio.Event] = []
        self.clock = SteppedClock()
        self._are_all_open = False
        for duration_s in earlier_connects_s:
            pool.pacing.latency.add(duration_s)
        connect = pool.connector.open

        async def connect_behind_gate(endpoint: EndpointAddress) -> UpstreamConnection:
            gate = asyncio.Event()
            self.gates.append(gate)
            if not self._are_all_open:
                await gate.wait()
            return await connect(endpoint)

        pool.connector.open = connect_behind_gate  # type: ignore[method-assign]

    @property
    def started_count(self) -> int:
        """The number of connects started so far."""
        return len(self.gates)

    async def wait_for_started(self, count: int) -> None:
        """Wait until exactly this many connects have been started."""
        await wait_until(lambda: len(self.gates) == count)

    def open(self, *numbers: int) -> None:
        """Open the gates of these connects, numbered from 0."""
        for number in numbers:
            self.gates[number].set()

    def open_all(self) -> None:
        """Open the gates of all connects, including later ones."""
        self._are_all_open = True
        for gate in self.gates:
            gate.set()

    async def advance(self, seconds: float) -> None:
        """Advance the clock, and run the callbacks that become due."""
        self.clock.advance(seconds)
        await run_loop_turns(12)


class SystemConnectGate:
    """Blocks all connects of the event loop until `opened` is set, while connect time-outs run."""

    def __init__(self) -> None:
        self.opened = asyncio.Event()
        self.waiting_count = 0
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def connect_once_opened(
            protocol_factory: Callable[[], asyncio.Protocol], host: str, port: int
        ) -> object:
            self.waiting_count += 1
            await self.opened.wait()
            return await connect(protocol_factory, host, port)

        loop.create_connection = connect_once_opened  # type: ignore[method-assign, assignment]
