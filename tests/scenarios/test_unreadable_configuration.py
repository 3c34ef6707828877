"""A configuration file that is unreadable or incomplete on a reload is read again for a limited time."""

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


class FailingConfigFile:
    """Makes reads of the configuration file fail while `error` is set, and counts them."""

    def __init__(self, path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.read_count, self.error = 0, 0
        read_bytes = Path.read_bytes

        def read(requested_path: Path) -> bytes:
            if requested_path == path:
                self.read_count += 1
                if self.error:
                    raise OSError(self.error, os.strerror(self.error))
            return read_bytes(requested_path)

        monkeypatch.setattr(Path, "read_bytes", read)


VALID_CONFIG = json.dumps(proxy_config(discovery="127.0.0.1:2"))
FILE_FAULTS: dict[str, int | str | None] = {
    "EIO": errno.EIO,
    "EMFILE": errno.EMFILE,
    "ENFILE": errno.ENFILE,
    "missing": None,
    "empty": "",
    "truncated": VALID_CONFIG[:-20],
}


def make_unreadable(path: Path, file: FailingConfigFile, fault: int | str | None) -> None:
    if fault is None:
        path.unlink()
    elif isinstance(fault, int):
        file.error = fault
    else:
        path.write_text(fault)


async def advance_clock(clock: SteppedClock, seconds: float) -> None:
    clock.advance(seconds)
    for _ in range(3):
        await asyncio.sleep(0)


@pytest.mark.parametrize("fault", FILE_FAULTS.values(), ids=FILE_FAULTS.keys())
async def test_briefly_unreadable_configuration_is_reloaded_once_readable(
    fault: int | str | None, tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with running_proxy() as proxy:
        clock, reload = SteppedClock(), ReloadHarness(tmp_path, proxy, caplog)
        file = FailingConfigFile(reload.path, monkeypatch)
        make_unreadable(reload.path, file, fault)
        reload.assert_rejected("NODE_CONFIG")
        for _ in range(12):
            await advance_clock(clock, RELOAD_RETRY_INTERVAL_S)
        assert not reload.discovery_addresses
        assert len(problem_lines(caplog)) == 1
        file.error = 0
        reload.path.write_text(VALID_CONFIG)
        await advance_clock(clock, RELOAD_RETRY_INTERVAL_S)
        assert reload.discovery_addresses == [("127.0.0.1", 2)]
        assert len(problem_lines(caplog)) == 1
        read_count = file.read_count
        await advance_clock(clock, 10.0)
        assert file.read_count == read_count
        assert len(reload.discovery_addresses) == 1


@pytest.mark.parametrize("fault", FILE_FAULTS.values(), ids=FILE_FAULTS.keys())
async def test_reload_of_an_unreadable_file_is_given_up_and_the_old_configuration_kept(
    fault: int | str | None, tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with running_proxy() as proxy:
        clock, reload = SteppedClock(), ReloadHarness(tmp_path, proxy, caplog)
        file = FailingConfigFile(reload.path, monkeypatch)
        make_unreadable(reload.path, file, fault)
        reload.assert_rejected("NODE_CONFIG")
        for _ in range(100):
            await advance_clock(clock, RELOAD_RETRY_INTERVAL_S)
        assert not reload.discovery_addresses
        assert len(problem_lines(caplog)) == 1
        assert file.read_count == 1 + MAX_RELOAD_RETRIES
        file.error = 0
        reload.assert_valid_file_is_applied()  # by the next reload signal


@pytest.mark.parametrize("end", ["another signal", "shutdown", "another fault"])
async def test_retries_of_a_reload_end_on_another_signal_shutdown_or_another_fault(
    end: str, tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After another signal, the new configuration is applied once; a later change of the file is not read."""

    async with running_proxy() as proxy:
        clock, reload = SteppedClock(), ReloadHarness(tmp_path, proxy, caplog)
        file = FailingConfigFile(reload.path, monkeypatch)
        make_unreadable(reload.path, file, None)
        reload.assert_rejected("NODE_CONFIG")
        await advance_clock(clock, RELOAD_RETRY_INTERVAL_S)
        if end == "shutdown":
            reload.reloader.close()
        elif end == "another fault":  # readable but invalid
            reload.path.write_text("[1]")
            await advance_clock(clock, RELOAD_RETRY_INTERVAL_S)
            assert "field settings" in problem_lines(caplog)[-1]
            assert len(problem_lines(caplog)) == 2
        else:
            reload.assert_valid_file_is_applied()
        read_count = file.read_count
        reload.path.write_text(json.dumps(proxy_config(discovery="127.0.0.1:3")))
        for _ in range(30):
            await advance_clock(clock, RELOAD_RETRY_INTERVAL_S)
        assert file.read_count == read_count
        assert reload.discovery_addresses == ([("127.0.0.1", 2)] if end == "another signal" else [])


@pytest.mark.parametrize("is_serving", [True, False], ids=["serving", "starting"])
async def test_configuration_is_not_reread_after_shutdown(
    is_serving: bool, tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    caplog.set_level(logging.INFO)

    async with serving_in_process(tmp_path, unused_port(), proxy_config()) as clock:
        if is_serving:
            await wait_until(lambda: "listens on" in caplog.text)
        file = FailingConfigFile(tmp_path / "config.json", monkeypatch)
        (tmp_path / "config.json").unlink()
        os.kill(os.getpid(), signal.SIGHUP)
        await wait_until(lambda: file.read_count == 1)
    read_count = file.read_count
    for _ in range(100):
        await advance_clock(clock, RELOAD_RETRY_INTERVAL_S)
    assert read_count == file.read_count < 1 + MAX_RELOAD_RETRIES


class ListDiscovery(StandInServer):
    """Discovery that sends each watch a list and keeps it open; `watch_started` is set on the first."""

    def __init__(self) -> None:
        super().__init__(self._send_list)
        self.watch_started = asyncio.Event()

    async def _send_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.watch_started.set()
        writer.write(WATCH_RESPONSE_HEAD + endpoint_list_chunk(endpoint_list(endpoint_entry("a", 9))))
        await reader.read()


async def reload_without_file(process: asyncio.subprocess.Process, path: Path) -> None:
    """Remove the configuration file, signal a reload, and wait until the rejection is logged."""
    assert process.stderr is not None
    path.unlink()
    process.send_signal(signal.SIGHUP)
    while b"the old one stays" not in (line := await process.stderr.readline()):
        assert line, "the process ended before it logged the rejection"


async def test_process_applies_a_configuration_replaced_after_the_reload_signal(tmp_path: Path) -> None:
    """A file that is still missing on shutdown does not change the exit code."""
    async with ListDiscovery() as old_discovery, ListDiscovery() as new_discovery:
        config = proxy_config(discovery=f"127.0.0.1:{old_discovery.port}")
        async with running_proxy_process(write_config(tmp_path, config)) as process:
            await read_listening_port(process)
            assert process.stderr is not None
            await old_discovery.watch_started.wait()
            assert not new_discovery.watch_started.is_set()
            await reload_without_file(process, tmp_path / "config.json")
            write_config(tmp_path, {**config, "discovery": f"127.0.0.1:{new_discovery.port}"})
            await new_discovery.watch_started.wait()
            assert old_discovery.connection_count == new_discovery.connection_count == 1
            await reload_without_file(process, tmp_path / "config.json")
            process.send_signal(signal.SIGTERM)
            remaining_log = await process.stderr.read()
            assert await process.wait() == 0
            assert b"Traceback" not in remaining_log
