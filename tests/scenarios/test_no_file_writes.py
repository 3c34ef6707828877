"""The proxy writes no file: it serves, reloads and exits where no file can be written."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from tests.support.endpoint_lists import (
    WATCH_RESPONSE_HEAD,
    endpoint_entry,
    endpoint_list,
    endpoint_list_chunk,
)
from tests.support.http_messages import http_request, http_response, read_http_message
from tests.support.proxy_process import ROOT, deploy_command, proxy_config, read_listening_port, write_config
from tests.support.stand_in_server import StandInEndpoint, StandInServer

# Each operation that changes the file system is logged before it happens, whether or not it would succeed.
AUDITED_PROGRAM = """
import os, runpy, sys

WRITE_FLAGS = os.O_WRONLY | os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
CHANGE_EVENTS = ("os.mkdir", "os.rename", "os.remove", "os.rmdir", "os.link", "os.symlink", "os.truncate",
                 "os.chmod", "os.utime", "tempfile.mkstemp", "tempfile.mkdtemp", "shutil.copyfile")

def log_file_change(event, args):
    if event in CHANGE_EVENTS or event == "open" and isinstance(args[2], int) and args[2] & WRITE_FLAGS:
        sys.stderr.write(f"FILE {event} {args!r}\\n")

sys.addaudithook(log_file_change)
sys.argv = ["load_balancer"]
runpy.run_module("load_balancer", run_name="__main__")
"""


@asynccontextmanager
async def running_command(
    command: list[str], env: dict[str, str], shell: str = ""
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a command with exactly this environment, after shell commands; kill it on exit."""
    process = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        f'{shell} exec "$@"',
        "sh",
        *command,
        cwd=ROOT,
        env=env,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def serve_across_reload(
    tmp_path: Path, command: list[str], env: dict[str, str], shell: str = ""
) -> str:
    """Run a proxy, reload it with another discovery that lists another endpoint, end it; return its log."""

    async def send_list(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            WATCH_RESPONSE_HEAD
            + endpoint_list_chunk(endpoint_list(endpoint_entry("b", new_endpoint.port), rev=2))
        )
        await reader.read()

    async with (
        StandInEndpoint(http_response(200, b"a")) as old_endpoint,
        StandInEndpoint(http_response(200, b"b")) as new_endpoint,
        StandInServer(send_list) as discovery,
    ):
        config = proxy_config(known=endpoint_list(endpoint_entry("a", old_endpoint.port)))
        async with running_command(command, {**write_config(tmp_path, config), **env}, shell) as process:
            log_lines: list[str] = []
            port = await read_listening_port(process, log_lines)
            for expected in (b"a", b"b"):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(http_request())
                assert (await read_http_message(reader))[2] == expected
                writer.close()
                if expected == b"a":
                    write_config(tmp_path, {**config, "discovery": f"127.0.0.1:{discovery.port}"})
                    process.send_signal(signal.SIGHUP)
                    assert process.stderr is not None
                    while "is b," not in log_lines[-1]:
                        log_lines.append((await process.stderr.readline()).decode())
                        assert log_lines[-1], "the process ended before it logged the new endpoint"
            process.send_signal(signal.SIGTERM)
            _, remaining_log = await process.communicate()
            assert process.returncode == 0
            return "".join(log_lines) + remaining_log.decode()


@pytest.mark.parametrize("folder_state", ["missing", "a file", "empty", "unset"])
async def test_process_runs_without_writable_files_or_folders(tmp_path: Path, folder_state: str) -> None:
    """Each write to a file fails, as on a full disk, and HOME is not set."""

    temporary_folder = tmp_path / "temporary_folder"
    if folder_state == "a file":
        temporary_folder.write_bytes(b"")
    elif folder_state == "empty":
        temporary_folder.mkdir()
    env = {} if folder_state == "unset" else {"TMPDIR": str(temporary_folder)}
    log = await serve_across_reload(tmp_path, deploy_command(), env, "ulimit -f 0;")
    assert "Traceback" not in log
    assert "Error" not in log
    assert not temporary_folder.is_dir() or not list(temporary_folder.iterdir())


async def test_process_opens_no_file_for_writing(tmp_path: Path) -> None:
    assert deploy_command()[1:] == ["-B", "-m", "load_balancer"]  # -B: no compiled module is written either
    command = [sys.executable, "-B", "-c", AUDITED_PROGRAM]
    log = await serve_across_reload(tmp_path, command, {"TMPDIR": str(tmp_path)})
    assert "FILE" not in log, log
