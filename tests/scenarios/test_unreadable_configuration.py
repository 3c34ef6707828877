"""A configuration file that cannot be read or is incomplete at a reload: it is read again for a while."""

from __future__ import annotations

import asyncio
import errno
import json
import logging
import os
import signal
from pathlib import Path

import pytest

from load_balancer.process.reload import MAX_RELOAD_RETRIES, RELOAD_RETRY_INTERVAL_S
from tests.support.endpoint_lists import (
    WATCH_RESPONSE_HEAD,
    endpoint_entry,
    endpoint_list,
    endpoint_list_chunk,
)
from tests.support.in_process_server import serving_in_process
from tests.support.log_lines import problem_lines
from tests.support.loopback_proxy import running_proxy
from tests.support.proxy_process import (
    proxy_config,
    read_listening_port,
    running_proxy_process,
    unused_port,
    write_config,
)
from tests.support.reload_harness import ReloadHarness
from tests.support.stand_in_server import StandInServer
from tests.support.stepped_clock import SteppedClock, wait_until


class ReadFile:
    """The configuration file, each read of which a test may make fail."""

    def __init__(self, path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.reads, self.error = 0, 0
        read_bytes = Path.read_bytes

        def read(asked: Path) -> bytes:
            if asked == path:
                self.reads += 1
                if self.error:
                    raise OSError(self.error, os.strerror(self.error))
            return read_bytes(asked)

        monkeypatch.setattr(Path, "read_bytes", read)


VALID_CONFIG = json.dumps(proxy_config(discovery="127.0.0.1:2"))
UNREADABLE: dict[str, int | str | None] = {
    "EIO": errno.EIO,
    "EMFILE": errno.EMFILE,
    "ENFILE": errno.ENFILE,
    "gone": None,
    "empty": "",
    "half": VALID_CONFIG[:-20],
}


def spoil(path: Path, file: ReadFile, fault: int | str | None) -> None:
    if fault is None:
        path.unlink()
    elif isinstance(fault, int):
        file.error = fault
    else:
        path.write_text(fault)


async def step(clock: SteppedClock, seconds: float) -> None:
    clock.advance(seconds)
    for _ in range(3):
        await asyncio.sleep(0)


@pytest.mark.parametrize("fault", UNREADABLE.values(), ids=UNREADABLE.keys())
async def test_briefly_unreadable_configuration_is_reloaded_once_readable(
    fault: int | str | None, tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with running_proxy() as proxy:
        clock, reload = SteppedClock(), ReloadHarness(tmp_path, proxy, caplog)
        file = ReadFile(reload.path, monkeypatch)
        spoil(reload.path, file, fault)
        reload.assert_rejected("NODE_CONFIG")
        for _ in range(12):
            await step(clock, RELOAD_RETRY_INTERVAL_S)
        assert not reload.discovery_addresses
        assert len(problem_lines(caplog)) == 1
        file.error = 0
        reload.path.write_text(VALID_CONFIG)
        await step(clock, RELOAD_RETRY_INTERVAL_S)
        assert reload.discovery_addresses == [("127.0.0.1", 2)]
        assert len(problem_lines(caplog)) == 1
        read_count = file.reads
        await step(clock, 10.0)
        assert file.reads == read_count
        assert len(reload.discovery_addresses) == 1


@pytest.mark.parametrize("fault", UNREADABLE.values(), ids=UNREADABLE.keys())
async def test_unreadable_configuration_is_given_up_and_the_old_one_kept(
    fault: int | str | None, tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with running_proxy() as proxy:
        clock, reload = SteppedClock(), ReloadHarness(tmp_path, proxy, caplog)
        file = ReadFile(reload.path, monkeypatch)
        spoil(reload.path, file, fault)
        reload.assert_rejected("NODE_CONFIG")
        for _ in range(100):
            await step(clock, RELOAD_RETRY_INTERVAL_S)
        assert not reload.discovery_addresses
        assert len(problem_lines(caplog)) == 1
        assert file.reads == 1 + MAX_RELOAD_RETRIES
        file.error = 0
        reload.assert_valid_file_is_applied()  # at the next signal


@pytest.mark.parametrize("end", ["another signal", "the end", "another fault"])
async def test_configuration_rereads_end_with(
    end: str, tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What another signal brings is taken over once."""

    async with running_proxy() as proxy:
        clock, reload = SteppedClock(), ReloadHarness(tmp_path, proxy, caplog)
        file = ReadFile(reload.path, monkeypatch)
        spoil(reload.path, file, None)
        reload.assert_rejected("NODE_CONFIG")
        await step(clock, RELOAD_RETRY_INTERVAL_S)
        if end == "the end":
            reload.reloader.close()
        elif end == "another fault":  # it can be read, and cannot be used
            reload.path.write_text("[1]")
            await step(clock, RELOAD_RETRY_INTERVAL_S)
            assert "field settings" in problem_lines(caplog)[-1]
            assert len(problem_lines(caplog)) == 2
        else:
            reload.assert_valid_file_is_applied()
        read_count = file.reads
        reload.path.write_text(json.dumps(proxy_config(discovery="127.0.0.1:3")))
        for _ in range(30):
            await step(clock, RELOAD_RETRY_INTERVAL_S)
        assert file.reads == read_count
        assert reload.discovery_addresses == ([("127.0.0.1", 2)] if end == "another signal" else [])


@pytest.mark.parametrize("serving", [True, False], ids=["serving", "not yet"])
async def test_configuration_rereads_end_at_shutdown(
    serving: bool, tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    caplog.set_level(logging.INFO)

    async with serving_in_process(tmp_path, unused_port(), proxy_config()) as clock:
        if serving:
            await wait_until(lambda: "listens on" in caplog.text)
        file = ReadFile(tmp_path / "config.json", monkeypatch)
        (tmp_path / "config.json").unlink()
        os.kill(os.getpid(), signal.SIGHUP)
        await wait_until(lambda: file.reads == 1)
    read_count = file.reads
    for _ in range(100):
        await step(clock, RELOAD_RETRY_INTERVAL_S)
    assert read_count == file.reads < 1 + MAX_RELOAD_RETRIES


class RecordingDiscovery(StandInServer):
    """Sends each watch a list and keeps it open; `watch_started` is set as one comes."""

    def __init__(self) -> None:
        super().__init__(self._send_list)
        self.watch_started = asyncio.Event()

    async def _send_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.watch_started.set()
        writer.write(WATCH_RESPONSE_HEAD + endpoint_list_chunk(endpoint_list(endpoint_entry("a", 9))))
        await reader.read()


async def reload_without_file(process: asyncio.subprocess.Process, path: Path) -> None:
    """Remove the configuration file, signal a reload, and wait until the process has logged the refusal."""
    assert process.stderr is not None
    path.unlink()
    process.send_signal(signal.SIGHUP)
    while b"the old one stays" not in (line := await process.stderr.readline()):
        assert line, "it ended"


async def test_process_follows_a_configuration_replaced_during_the_signal(tmp_path: Path) -> None:
    """At the end, a file that never comes is no fault either."""
    async with RecordingDiscovery() as old, RecordingDiscovery() as new:
        config = proxy_config(discovery=f"127.0.0.1:{old.port}")
        async with running_proxy_process(write_config(tmp_path, config)) as process:
            await read_listening_port(process)
            assert process.stderr is not None
            await old.watch_started.wait()
            assert not new.watch_started.is_set()
            await reload_without_file(process, tmp_path / "config.json")
            write_config(tmp_path, {**config, "discovery": f"127.0.0.1:{new.port}"})
            await new.watch_started.wait()
            assert old.connection_count == new.connection_count == 1
            await reload_without_file(process, tmp_path / "config.json")
            process.send_signal(signal.SIGTERM)
            rest = await process.stderr.read()
            assert await process.wait() == 0
            assert b"Traceback" not in rest
