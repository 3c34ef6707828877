"""How the bytes of endpoint lists in one sequence of events grow from 200 endpoints to 3,200."""

from __future__ import annotations

import asyncio
import json
import re

from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.net.discovery.endpoint_watch import (
    CallFailure,
    EndpointWatch,
    WatchCallbacks,
    WatchTimeouts,
)
from tests.support.endpoint_lists import WATCH_RESPONSE_HEAD
from tests.support.stand_in_server import StandInServer
from tests.support.stepped_clock import wait_until

SMALL_FLEET_SIZE, LARGE_FLEET_SIZE = 200, 3_200
# Limit for the large fleet: this multiple of the small fleet's bytes, a constant, and an amount per endpoint.
MAX_BYTES_FACTOR, EXTRA_BYTES, EXTRA_BYTES_PER_ENDPOINT = 2.0, 64_000, 500


class Fleet:
    """Endpoints that are replaced one by one, and a discovery that counts the bytes it sends."""

    def __init__(self, endpoint_count: int) -> None:
        self.rev = 1
        self.changes: list[tuple[int, dict[str, object]]] = []  # each change with its version
        self.entries_by_uid = {
            f"s-{number:08x}": self.entry(f"s-{number:08x}", number) for number in range(endpoint_count)
        }
        self.sent_bytes = self.complete_list_count = 0
        self.open_writers: list[asyncio.StreamWriter] = []

    @staticmethod
    def entry(uid: str, number: int, state: str = "in_service") -> dict[str, object]:
        identity = {
            "uid": uid,
            "endpoint": f"10.1.{number // 250}.{number % 250}:9000",
            "az": "a",
            "model": "m2",
        }
        return {**identity, "pod_group": number % 7, "state": state, "capacity_hint": 1.0, "boot_ms": 0}

    def send_list(
        self, writer: asyncio.StreamWriter, is_complete: bool, entries: list[dict[str, object]]
    ) -> None:
        message = {"rev": self.rev, "all": is_complete, "targets": entries}
        line = json.dumps(message, separators=(",", ":")).encode() + b"\n"
        self.sent_bytes += len(line)
        self.complete_list_count += is_complete
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = (await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1]
        since_match = re.search(r"since=(\d+)", target)
        writer.write(WATCH_RESPONSE_HEAD)
        if since_match is None:
            self.send_list(writer, True, list(self.entries_by_uid.values()))
        else:
            self.send_list(writer, False, [entry for rev, entry in self.changes if rev > int(since_match[1])])
        self.open_writers.append(writer)
        try:
            await reader.read()
        finally:
            self.open_writers.remove(writer)

    def apply_change(self, entry: dict[str, object]) -> None:
        self.rev += 1
        uid = str(entry["uid"])
        self.entries_by_uid[uid] = entry
        if entry["state"] == "terminated":
            del self.entries_by_uid[uid]
        self.changes.append((self.rev, entry))
        for writer in self.open_writers:
            self.send_list(writer, False, [entry])

    def replace_endpoint(self, number: int) -> None:
        """Drain and terminate one endpoint, and add another in its place."""
        old_uid, new_uid = f"s-{number:08x}", f"t-{number:08x}"
        self.apply_change(self.entry(old_uid, number, "terminating"))
        self.apply_change(self.entry(new_uid, number))
        self.apply_change(self.entry(old_uid, number, "terminated"))


class Follower:
    """A watch on the fleet, and the endpoint states that it has received."""

    def __init__(self, ports: tuple[int, int], fleet: Fleet) -> None:
        self.fleet, self.states_by_uid = fleet, dict[str, str]()
        self.addresses = [("127.0.0.1", port) for port in ports]
        self.watch = EndpointWatch(
            self.addresses[0], WatchCallbacks(self.on_list, self.on_failure), WatchTimeouts((60.0,), 60.0)
        )

    def on_list(self, message: EndpointListMessage) -> None:
        if message.is_complete:
            self.states_by_uid.clear()
        for endpoint in message.endpoints:
            self.states_by_uid[message.uids[endpoint.id]] = endpoint.status.value
            if endpoint.id not in message.addresses:
                del self.states_by_uid[message.uids[endpoint.id]]

    def on_failure(self, failure: CallFailure) -> None:
        asyncio.get_running_loop().call_soon(self.watch.start)

    async def wait_until_current(self) -> None:
        """Wait until the received endpoints match the fleet and exactly one watch is open."""
        await wait_until(lambda: self.watch.version == self.fleet.rev and len(self.fleet.open_writers) == 1)
        assert self.states_by_uid.keys() == self.fleet.entries_by_uid.keys()


async def replace_half(endpoint_count: int) -> Fleet:
    """Replace half of the endpoints while watches fail, then change the discovery address once."""
    fleet = Fleet(endpoint_count)
    async with StandInServer(fleet.handle) as first, StandInServer(fleet.handle) as second:
        follower = Follower((first.port, second.port), fleet)
        follower.watch.start()
        await follower.wait_until_current()
        for number in range(endpoint_count // 2):
            fleet.replace_endpoint(number)
            if number % 20 == 0:
                await follower.wait_until_current()
            if number in (20, 40):
                fleet.open_writers[0].transport.abort()
                await asyncio.sleep(0)
                await follower.wait_until_current()
            elif number == 60:
                fleet.open_writers[0].write(b"9\r\nnonsense\n\r\n")
                await wait_until(lambda: not follower.watch.is_running)
                await follower.wait_until_current()
            elif number == 80:  # the address changes and is restored before any response
                follower.watch.change_address(follower.addresses[1])
                follower.watch.change_address(follower.addresses[0])
                await follower.wait_until_current()
        follower.watch.change_address(follower.addresses[1])
        await wait_until(
            lambda: not any(
                writer.get_extra_info("sockname")[1] == first.port for writer in fleet.open_writers
            )
        )
        await follower.wait_until_current()
        follower.watch.close()
        return fleet


async def test_list_bytes_stay_within_the_limit_at_sixteen_times_the_endpoints() -> None:
    small_fleet, large_fleet = [
        await replace_half(endpoint_count) for endpoint_count in (SMALL_FLEET_SIZE, LARGE_FLEET_SIZE)
    ]
    # At the start, and after the change of the discovery address.
    assert small_fleet.complete_list_count == large_fleet.complete_list_count == 2
    assert (
        large_fleet.sent_bytes
        <= MAX_BYTES_FACTOR * small_fleet.sent_bytes
        + EXTRA_BYTES
        + EXTRA_BYTES_PER_ENDPOINT * LARGE_FLEET_SIZE
    ), (small_fleet.sent_bytes, large_fleet.sent_bytes)
