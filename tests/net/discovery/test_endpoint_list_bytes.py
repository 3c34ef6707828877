"""How the bytes of endpoint lists grow over one course of events, from 200 endpoints to 3,200."""

from __future__ import annotations

import asyncio
import json
import re

from load_balancer.net.discovery.endpoint_list import EndpointListMessage
from load_balancer.net.discovery.endpoint_watch import EndpointWatch
from tests.support.endpoint_lists import WATCH_RESPONSE_HEAD
from tests.support.stand_in_server import StandInServer
from tests.support.stepped_clock import wait_until

USUAL, MOST = 200, 3_200
TIMES, PLUS, PLUS_EACH = 2.0, 64_000, 500  # what the terms allow of the usual bytes, and for each endpoint


class Fleet:
    """Endpoints that are replaced one by one, and a discovery that counts what it sends of them."""

    def __init__(self, endpoint_count: int) -> None:
        self.rev = 1
        self.log: list[tuple[int, dict[str, object]]] = []  # each change and the version that it made
        self.now = {
            f"s-{number:08x}": self.row(f"s-{number:08x}", number) for number in range(endpoint_count)
        }
        self.sent = self.whole = 0
        self.open: list[asyncio.StreamWriter] = []

    @staticmethod
    def row(uid: str, number: int, state: str = "in_service") -> dict[str, object]:
        place = {
            "uid": uid,
            "endpoint": f"10.1.{number // 250}.{number % 250}:9000",
            "az": "a",
            "model": "m2",
        }
        return {**place, "pod_group": number % 7, "state": state, "capacity_hint": 1.0, "boot_ms": 0}

    def say(self, writer: asyncio.StreamWriter, full: bool, rows: list[dict[str, object]]) -> None:
        news = {"rev": self.rev, "all": full, "targets": rows}
        text = json.dumps(news, separators=(",", ":")).encode() + b"\n"
        self.sent += len(text)
        self.whole += full
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = (await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1]
        found = re.search(r"since=(\d+)", target)
        writer.write(WATCH_RESPONSE_HEAD)
        if found is None:
            self.say(writer, True, list(self.now.values()))
        else:
            self.say(writer, False, [row for rev, row in self.log if rev > int(found[1])])
        self.open.append(writer)
        try:
            await reader.read()
        finally:
            self.open.remove(writer)

    def change(self, row: dict[str, object]) -> None:
        self.rev += 1
        uid = str(row["uid"])
        self.now[uid] = row
        if row["state"] == "terminated":
            del self.now[uid]
        self.log.append((self.rev, row))
        for writer in self.open:
            self.say(writer, False, [row])

    def replace(self, number: int) -> None:
        """One endpoint drains and ends, and another comes for it."""
        old, new = f"s-{number:08x}", f"t-{number:08x}"
        self.change(self.row(old, number, "terminating"))
        self.change(self.row(new, number))
        self.change(self.row(old, number, "terminated"))


class Follower:
    """A watch, what it holds, and the course of events."""

    def __init__(self, ports: tuple[int, int], fleet: Fleet) -> None:
        self.fleet, self.held = fleet, dict[str, str]()
        self.at = [("127.0.0.1", port) for port in ports]
        self.watch = EndpointWatch(self.at[0], self.on_list, self.on_broken, 60.0, 60.0)

    def on_list(self, news: EndpointListMessage) -> None:
        if news.is_complete:
            self.held.clear()
        for endpoint in news.endpoints:
            self.held[news.uids[endpoint.id]] = endpoint.status.value
            if endpoint.id not in news.addresses:
                del self.held[news.uids[endpoint.id]]

    def on_broken(self) -> None:
        asyncio.get_running_loop().call_soon(self.watch.start)

    async def told(self) -> None:
        """Until it holds what discovery has, with one watch open."""
        await wait_until(lambda: self.watch.version == self.fleet.rev and len(self.fleet.open) == 1)
        assert self.held.keys() == self.fleet.now.keys()


async def course(endpoint_count: int) -> Fleet:
    """Half of the endpoints are replaced, with trouble on the way, and discovery moves once."""
    fleet = Fleet(endpoint_count)
    async with StandInServer(fleet.handle) as first, StandInServer(fleet.handle) as second:
        follower = Follower((first.port, second.port), fleet)
        follower.watch.start()
        await follower.told()
        for number in range(endpoint_count // 2):
            fleet.replace(number)
            if number % 20 == 0:
                await follower.told()
            if number in (20, 40):
                fleet.open[0].transport.abort()
                await asyncio.sleep(0)
                await follower.told()
            elif number == 60:
                fleet.open[0].write(b"9\r\nnonsense\n\r\n")
                await wait_until(lambda: not follower.watch.is_running)
                await follower.told()
            elif number == 80:  # a new configuration, and the old one again before anything came
                follower.watch.change_address(follower.at[1])
                follower.watch.change_address(follower.at[0])
                await follower.told()
        follower.watch.change_address(follower.at[1])
        await wait_until(
            lambda: not any(writer.get_extra_info("sockname")[1] == first.port for writer in fleet.open)
        )
        await follower.told()
        follower.watch.close()
        return fleet


async def test_list_bytes_stay_within_the_limit_at_sixteen_times_the_endpoints() -> None:
    usual, most = [await course(endpoint_count) for endpoint_count in (USUAL, MOST)]
    assert usual.whole == most.whole == 2  # at the start, and after the move
    assert most.sent <= TIMES * usual.sent + PLUS + PLUS_EACH * MOST, (usual.sent, most.sent)
