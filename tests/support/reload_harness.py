"""Test harness for reloading the configuration file of a running proxy."""

from __future__ import annotations

import json
import logging
from pathlib import Path

import pytest

from load_balancer.process.config import ConfigSource
from load_balancer.process.reload import Reloader
from tests.support.loopback_proxy import LoopbackProxy
from tests.support.proxy_process import proxy_config, write_config


class ReloadHarness:
    """Reloads the configuration of a proxy, and records the discovery addresses that it switches to."""

    def __init__(self, folder: Path, proxy: LoopbackProxy, caplog: pytest.LogCaptureFixture) -> None:
        env = write_config(folder, proxy_config())
        self.path, self.caplog = folder / "config.json", caplog
        source = ConfigSource(env)
        self.reloader = Reloader(source, source.read(), proxy.driver)
        self.discovery_addresses: list[tuple[str, int]] = []
        proxy.driver.change_discovery_address = lambda address: self.discovery_addresses.append(address)  # type: ignore[method-assign]

    def reload(self) -> str:
        """Reload an invalid file, and return the one error line that is logged."""
        self.caplog.clear()
        self.reloader.reload()
        [error_record] = [record for record in self.caplog.records if record.levelno >= logging.ERROR]
        assert not error_record.exc_info
        assert "\n" not in error_record.getMessage()
        return error_record.getMessage()

    def assert_rejected(self, *field_names: str) -> None:
        """Assert that a reload rejects the file with an error that contains one of these field names."""
        message = self.reload()
        assert "the old one stays" in message, message
        assert any(name in message for name in field_names), message
        assert not self.discovery_addresses

    def assert_valid_file_is_applied(self) -> None:
        """Assert that a reload applies a valid file."""
        self.path.write_text(json.dumps(proxy_config(discovery="127.0.0.1:2")))
        self.reloader.reload()
        assert self.discovery_addresses == [("127.0.0.1", 2)]
