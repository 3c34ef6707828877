"""The proxy keeps no file: it serves, follows a new configuration and ends where nothing can be written."""

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

# Each way to change the file system is told before it happens, whether or not it would succeed.
AUDITED = """
import os, runpy, sys

WRITES = os.O_WRONLY | os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
CHANGES = ("os.mkdir", "os.rename", "os.remove", "os.rmdir", "os.link", "os.symlink", "os.truncate",
           "os.chmod", "os.utime", "tempfile.mkstemp", "tempfile.mkdtemp", "shutil.copyfile")

def told(event, args):
    if event in CHANGES or event == "open" and isinstance(args[2], int) and args[2] & WRITES:
        sys.stderr.write(f"FILE {event} {args!r}\\n")

sys.addaudithook(told)
sys.argv = ["load_balancer"]
runpy.run_module("load_balancer", run_name="__main__")
"""


@asynccontextmanager
async def started(
    words: list[str], env: dict[str, str], shell: str = ""
) -> AsyncIterator[asyncio.subprocess.Process]:
    """A process with this environment and no other."""
    made = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        f'{shell} exec "$@"',
        "sh",
        *words,
        cwd=ROOT,
        env=env,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        yield made
    finally:
        if made.returncode is None:
            made.kill()
        await made.wait()


async def serve_move_and_end(tmp_path: Path, words: list[str], env: dict[str, str], shell: str = "") -> str:
    """A request, a new configuration, a request to the backend that it tells of, the end; its log."""

    async def tell(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            WATCH_RESPONSE_HEAD
            + endpoint_list_chunk(endpoint_list(endpoint_entry("b", second_endpoint.port), rev=2))
        )
        await reader.read()

    async with (
        StandInEndpoint(http_response(200, b"a")) as first_endpoint,
        StandInEndpoint(http_response(200, b"b")) as second_endpoint,
        StandInServer(tell) as discovery,
    ):
        config = proxy_config(known=endpoint_list(endpoint_entry("a", first_endpoint.port)))
        async with started(words, {**write_config(tmp_path, config), **env}, shell) as made:
            said: list[str] = []
            port = await read_listening_port(made, said)
            for expected in (b"a", b"b"):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(http_request())
                assert (await read_http_message(reader))[2] == expected
                writer.close()
                if expected == b"a":
                    write_config(tmp_path, {**config, "discovery": f"127.0.0.1:{discovery.port}"})
                    made.send_signal(signal.SIGHUP)
                    assert made.stderr is not None
                    while "is b," not in said[-1]:
                        said.append((await made.stderr.readline()).decode())
                        assert said[-1], "it ended"
            made.send_signal(signal.SIGTERM)
            _, rest = await made.communicate()
            assert made.returncode == 0
            return "".join(said) + rest.decode()


@pytest.mark.parametrize("folder", ["missing", "no folder", "empty", "unset"])
async def test_process_runs_without_writable_files_or_folders(tmp_path: Path, folder: str) -> None:
    """Each write to a file fails for it, as on a full disk, and there is no home."""

    place = tmp_path / "place"
    if folder == "no folder":
        place.write_bytes(b"")
    elif folder == "empty":
        place.mkdir()
    env = {} if folder == "unset" else {"TMPDIR": str(place)}
    text = await serve_move_and_end(tmp_path, deploy_command(), env, "ulimit -f 0;")
    assert "Traceback" not in text
    assert "Error" not in text
    assert not place.is_dir() or not list(place.iterdir())


async def test_process_opens_no_file_for_writing(tmp_path: Path) -> None:
    assert deploy_command()[1:] == ["-B", "-m", "load_balancer"]  # -B: no compiled module is written either
    words = [sys.executable, "-B", "-c", AUDITED]
    text = await serve_move_and_end(tmp_path, words, {"TMPDIR": str(tmp_path)})
    assert "FILE" not in text, text
