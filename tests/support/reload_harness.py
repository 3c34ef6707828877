"""A running proxy, its configuration file, and what a reload of the file does."""

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
    """Reloads the configuration of a proxy, and records the discoveries that the proxy is moved to."""

    def __init__(self, folder: Path, proxy: LoopbackProxy, caplog: pytest.LogCaptureFixture) -> None:
        env = write_config(folder, proxy_config())
        self.path, self.caplog = folder / "config.json", caplog
        source = ConfigSource(env)
        self.reloader = Reloader(source, source.read(), proxy.driver)
        self.moved: list[tuple[str, int]] = []
        proxy.driver.change_discovery_address = lambda address: self.moved.append(address)  # type: ignore[method-assign]

    def reload(self) -> str:
        """Reload a file that is not sound, and return the only error that is logged."""
        self.caplog.clear()
        self.reloader.reload()
        [line] = [r for r in self.caplog.records if r.levelno >= logging.ERROR]
        assert not line.exc_info
        assert "\n" not in line.getMessage()
        return line.getMessage()

    def assert_rejected(self, *names: str) -> None:
        """Reload a file; it must be rejected with one of these names of fields."""
        line = self.reload()
        assert "the old one stays" in line, line
        assert any(name in line for name in names), line
        assert not self.moved

    def assert_still_follows(self) -> None:
        """Reload a sound file; the proxy must take it up."""
        self.path.write_text(json.dumps(proxy_config(discovery="127.0.0.1:2")))
        self.reloader.reload()
        assert self.moved == [("127.0.0.1", 2)]
