"""Reloads the configuration file on SIGHUP and applies the changes that need no restart.

State: the configuration in force and the timer of the next retry. `server` creates one `Reloader`, registers
its `reload` as the SIGHUP handler of the event loop and closes it at shutdown.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import fields, replace

from load_balancer.errors import ConfigError, UnreadableConfigError
from load_balancer.net.driver.event_loop_driver import EventLoopDriver
from load_balancer.process.config import Config, ConfigSource

log = logging.getLogger("load_balancer")

RELOAD_RETRY_INTERVAL_S = 0.1  # between reads of a file that could not be read
# The retries take 2 s: the old discovery stops sending 1.5 s after SIGHUP, and from 4 s after SIGHUP the
# proxy counts as notified of the new discovery's list.
MAX_RELOAD_RETRIES = 20
# Changes of these fields need no warning: `discovery` is applied, the others are used at startup only.
UNREPORTED_FIELDS = ("discovery", "cached_list", "seed")


class Reloader:
    """Applies changes of the configuration file to the running proxy."""

    def __init__(self, source: ConfigSource, config: Config, driver: EventLoopDriver) -> None:
        """Initialize the reloader.

        Args:
            source: The source that the configuration is read from again.
            config: The configuration that the process started with.
            driver: The driver that a change of the discovery address is applied to.
        """
        self._source = source
        self._config = config
        self._driver = driver
        self._retry_timer: asyncio.TimerHandle | None = None  # runs until the file is read again

    def reload(self) -> None:
        """Read and apply the file, with retries for 2 s; cancel the retries of an earlier signal."""
        self.close()
        self._read_and_apply(read_number=1)

    def close(self) -> None:
        """Stop retrying."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None

    def _read_and_apply(self, read_number: int) -> None:
        """Read and apply the file; schedule a retry if it cannot be read.

        Args:
            read_number: The number of this read since the signal, counted from 1.
        """
        self._retry_timer = None
        try:
            new_config = self._source.read()
        except UnreadableConfigError as error:
            # The file may be in the middle of being replaced and become readable within a moment.
            if read_number == 1:
                _log_rejection(error)
            if read_number <= MAX_RELOAD_RETRIES:
                self._schedule_retry(read_number + 1)
        except ConfigError as error:
            _log_rejection(error)
        else:
            self._apply(new_config)

    def _schedule_retry(self, read_number: int) -> None:
        loop = asyncio.get_running_loop()
        self._retry_timer = loop.call_later(RELOAD_RETRY_INTERVAL_S, self._read_and_apply, read_number)

    def _apply(self, new_config: Config) -> None:
        """Apply a change of the discovery address, and log each change that needs a restart."""
        for name in _changed_fields(self._config, new_config):
            if name not in UNREPORTED_FIELDS:
                log.warning("configuration reload: the change of %s needs a restart and is not applied", name)
        if new_config.discovery != self._config.discovery:
            log.info("configuration reload: discovery address changed to %s:%d", *new_config.discovery)
            self._driver.change_discovery_address(new_config.discovery)
        # Fields that need a restart keep their old values, so that the next reload logs the change again.
        self._config = replace(self._config, discovery=new_config.discovery)


def _changed_fields(old_config: Config, new_config: Config) -> list[str]:
    """Return the names of the fields that differ, in the order of `Config`."""
    return [
        field.name
        for field in fields(Config)
        if getattr(new_config, field.name) != getattr(old_config, field.name)
    ]


def _log_rejection(error: ConfigError) -> None:
    log.error("configuration reload failed, the old one stays in force: %s", error)
