"""The proxy process does not load what it never uses."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from load_balancer.process.openssl import exclude_openssl
from tests.support.proxy_process import (
    proxy_config,
    read_listening_port,
    running_proxy_process,
    write_config,
)


async def test_process_does_not_load_openssl(tmp_path: Path) -> None:
    async with running_proxy_process(write_config(tmp_path, proxy_config())) as process:
        await read_listening_port(process)
        maps = Path(f"/proc/{process.pid}/maps").read_text()
    assert "libcrypto" not in maps
    assert "libssl" not in maps


def test_endpoint_ids_are_the_same_without_openssl() -> None:
    module = "load_balancer.net.discovery.endpoint_list_json"
    program = "{first}from " + module + " import endpoint_id_from_uid; print(endpoint_id_from_uid('s-1'))"
    ids = [
        subprocess.run(
            [sys.executable, "-B", "-c", program.format(first=first)], capture_output=True, check=True
        ).stdout
        for first in ("", "from load_balancer.process.openssl import exclude_openssl as e; e(); ")
    ]
    assert ids[0] == ids[1] != b""


def test_hashes_of_openssl_stay_where_python_has_no_others(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("load_balancer.process.openssl.find_spec", lambda name: None)
    modules: dict[str, object] = {}
    exclude_openssl(modules)  # type: ignore[arg-type]
    assert modules == {"ssl": None}
