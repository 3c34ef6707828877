"""The reload: at SIGHUP the configuration file is read again and followed as far as a running process can.

State: the configuration in force and the timer of the next try. `server` makes one `Reloader`, has the event
loop call it at each SIGHUP and closes it at the end.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import fields, replace

from load_balancer.errors import ConfigError, UnreadableConfigError
from load_balancer.net.driver.event_loop_driver import EventLoopDriver
from load_balancer.process.config import Config, ConfigSource

log = logging.getLogger("load_balancer")

RELOAD_RETRY_INTERVAL_S = 0.1  # before a file that could not be read is read again
# The retries take 2 s: the old discovery falls silent 1.5 s after the signal, and a list counts as notified
# 4 s after it.
MAX_RELOAD_RETRIES = 20
# A change of these needs no warning: a new discovery is followed, the others matter at the start alone.
UNREPORTED_FIELDS = ("discovery", "cached_list", "seed")


class Reloader:
    """Follows changes of the configuration file that need no restart."""

    def __init__(self, source: ConfigSource, config: Config, driver: EventLoopDriver) -> None:
        """Begin with the configuration that the process started with."""
        self._source = source
        self._config = config
        self._driver = driver
        self._retry_timer: asyncio.TimerHandle | None = None  # runs until the file is read again

    def reload(self) -> None:
        """Take up the file as it is now, or within 2 s, in place of retries for an earlier signal."""
        self.close()
        self._read(attempt=1)

    def close(self) -> None:
        """Stop retrying."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None

    def _read(self, attempt: int) -> None:
        """Read the file for the `attempt`-th time since the signal."""
        self._retry_timer = None
        try:
            new = self._source.read()
        except UnreadableConfigError as error:
            # The file may be in the middle of being replaced, and be whole a moment later.
            if attempt == 1:
                _log_refusal(error)
            if attempt <= MAX_RELOAD_RETRIES:
                self._retry_later(attempt + 1)
        except ConfigError as error:
            _log_refusal(error)
        else:
            self._follow(new)

    def _retry_later(self, attempt: int) -> None:
        loop = asyncio.get_running_loop()
        self._retry_timer = loop.call_later(RELOAD_RETRY_INTERVAL_S, self._read, attempt)

    def _follow(self, new: Config) -> None:
        """Move to the new discovery and name each change that needs a restart."""
        for name in _changed_fields(self._config, new):
            if name not in UNREPORTED_FIELDS:
                log.warning("the change of %s needs a restart", name)
        if new.discovery != self._config.discovery:
            log.info("discovery is now at %s:%d", *new.discovery)
            self._driver.change_discovery_address(new.discovery)
        # What waits for a restart stays as it was, so that it is named again at the next reload.
        self._config = replace(self._config, discovery=new.discovery)


def _changed_fields(old: Config, new: Config) -> list[str]:
    """Return the names of the fields that differ, in the order of `Config`."""
    return [field.name for field in fields(Config) if getattr(new, field.name) != getattr(old, field.name)]


def _log_refusal(error: ConfigError) -> None:
    log.error("the new configuration cannot be used, the old one stays: %s", error)
