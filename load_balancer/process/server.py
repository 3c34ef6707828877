"""One proxy process from its start to its end: wiring, signals, reload and graceful shutdown.

`__main__.main` calls `exit_on_early_signals`, reads the configuration and runs `serve`. SIGTERM and SIGINT
begin the graceful shutdown, SIGHUP has the configuration read again.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
from dataclasses import fields, replace
from types import FrameType
from typing import NoReturn

from load_balancer.errors import ConfigError, UnreadableConfigError
from load_balancer.net.client.client_listener import ClientListener
from load_balancer.net.discovery.endpoint_watch import POLLED_LIST_TIMEOUT_S
from load_balancer.net.driver.event_loop_driver import EventLoopDriver
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.process.config import Config, ConfigSource
from load_balancer.process.descriptor_limits import divide_descriptors

log = logging.getLogger("load_balancer")

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

# The graceful shutdown, in seconds; see `GracefulShutdown`.
ACCEPT_GRACE_S = 0.6  # after SIGTERM: new connections go on coming for 0.2 to 0.4 s
# SIGKILL follows SIGTERM after the longest deadline, or after this if that is more, and 0.7 s.
MAX_DEADLINE_S = 3.0
ANSWER_GRACE_S = 0.2  # all is answered this long after the longest deadline, or after MAX_DEADLINE_S
LAST_REQUEST_S = 1.2  # time that the last request which is accepted has until then
FLUSH_S = 0.2  # for the last answers to be written
POLL_INTERVAL_S = 0.01  # connections are looked at this often

RELOAD_RETRY_INTERVAL_S = 0.1  # before a new configuration that could not be read is read again
# And as often: for 2 s, as the old discovery falls silent 1.5 s after the signal and a list counts as
# notified 4 s after it.
MAX_RELOAD_RETRIES = 20
START_ONLY_FIELDS = ("discovery", "cached_list", "seed")  # a new discovery is followed, the others are not


class Reloader:
    """Reads the configuration again at SIGHUP and follows what can be followed without a restart."""

    def __init__(self, source: ConfigSource, config: Config, driver: EventLoopDriver) -> None:
        """Begin with the configuration that the process started with."""
        self._source, self._config, self._driver = source, config, driver
        self._retry_timer: asyncio.TimerHandle | None = None  # runs until the file is read again

    def reload(self) -> None:
        """Take up the file as it is now, or within 2 s; an earlier signal's retries are over."""
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
            if attempt == 1:
                self._log_refusal(error)
            if attempt <= MAX_RELOAD_RETRIES:
                loop = asyncio.get_running_loop()
                self._retry_timer = loop.call_later(RELOAD_RETRY_INTERVAL_S, self._read, attempt + 1)
        except ConfigError as error:
            self._log_refusal(error)
        else:
            self._follow(new)

    def _log_refusal(self, error: ConfigError) -> None:
        log.error("the new configuration cannot be used, the old one stays: %s", error)

    def _follow(self, new: Config) -> None:
        for field in fields(Config):
            is_changed = getattr(new, field.name) != getattr(self._config, field.name)
            if is_changed and field.name not in START_ONLY_FIELDS:
                log.warning("the change of %s needs a restart", field.name)
        if new.discovery != self._config.discovery:
            log.info("discovery is now at %s:%d", *new.discovery)
            self._driver.move_discovery(new.discovery)
        # What waits for a restart stays as it was, so that it is named again at the next reload.
        self._config = replace(self._config, discovery=new.discovery)


def answer_time_s(longest_deadline_s: float) -> float:
    """Return the seconds after SIGTERM within which all requests are answered."""
    return min(MAX_DEADLINE_S, longest_deadline_s) + ANSWER_GRACE_S


def accept_time_s(answer_by_s: float) -> float:
    """Return the seconds after SIGTERM for which new connections are accepted in any case.

    Never longer than `answer_by_s`, by which all is answered: the time of the last answers runs from the end
    of the listener, and SIGKILL comes 0.5 s after `answer_by_s`. With ACCEPT_GRACE_S alone, deadlines below
    0.4 s would leave less than that.
    """
    return min(ACCEPT_GRACE_S, answer_by_s)


class GracefulShutdown:
    """The end after SIGTERM, as phases in this order.

    All times count from the signal; D is the longest deadline of the settings, 3 s at the most.

    1. `announce`, at 0: the readiness check fails, and no request gets more than D + 0.2 s from the signal.
    2. `keep_accepting`, until 0.6 s in any case (D + 0.2 s if that is less), then until D - 1 s for as long
       as clients have connections open: the last request that is accepted has 1.2 s left.
    3. `finish_requests`: the listener's queue is taken in and the listener closed; each connection is
       closed once it is answered and brings nothing more, until D + 0.2 s.
    4. `fail_remaining`: what is still open gets its final answer, and 0.2 s to be written.
    5. `close`: what is left is closed, by D + 0.4 s. SIGKILL comes at D + 0.7 s; 0.3 s are left for a stall
       of the machine and the end of the process.
    """

    def __init__(self, listener: ClientListener, driver: EventLoopDriver, longest_deadline_s: float) -> None:
        """Start the clock of the phases: to be made as the signal comes."""
        self._listener, self._driver = listener, driver
        self._loop = asyncio.get_running_loop()
        self._answer_by_s = answer_time_s(longest_deadline_s)
        self._answer_by = self._loop.time() + self._answer_by_s  # by the event loop's clock

    async def run(self) -> None:
        """Go through all phases."""
        self.announce()
        await self.keep_accepting()
        await self.finish_requests()
        await self.fail_remaining()
        self.close()

    def announce(self) -> None:
        """Fail the readiness check, so that clients go elsewhere, and cut the deadlines of requests."""
        self._listener.clients.is_shutting_down = True
        self._driver.limit_deadlines(self._answer_by_s)

    async def keep_accepting(self) -> None:
        """Serve as before, for as long as clients may not know yet or have nobody else.

        Clients go on using the connections that they have. A listener that closed at once would leave them
        with nobody where the proxy that was restarted just before is not back yet.
        """
        await asyncio.sleep(accept_time_s(self._answer_by_s))
        while (
            self._loop.time() < self._answer_by - LAST_REQUEST_S and self._listener.clients.open_connections
        ):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def finish_requests(self) -> None:
        """Stop listening, and answer what was accepted."""
        self._listener.stop_listening()
        await self._close_connections(self._answer_by)

    async def fail_remaining(self) -> None:
        """End the requests that are still open, and let their answers be written."""
        self._driver.end_all_requests()
        await self._close_connections(self._loop.time() + FLUSH_S)

    def close(self) -> None:
        """Close all that is left: clients' connections, the watch, connections to endpoints."""
        self._listener.close()
        self._driver.close()

    async def _close_connections(self, end: float) -> None:
        """Close clients' connections as they fall idle, until all are quiet, or to `end`."""
        self._listener.close_idle_connections()
        while self._loop.time() < end and not self._listener.is_drained:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._listener.close_idle_connections()


async def wait_for_any(*events: asyncio.Event, timeout_s: float) -> None:
    """Wait until one of these is set, or for that long."""
    waits = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(waits, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


def freeze_startup_objects() -> None:
    """Take what lives for good out of garbage collection: each full one would look through it, in a pause."""
    gc.collect()
    gc.freeze()


async def serve(config: Config, source: ConfigSource) -> None:
    """Run one proxy until SIGTERM or SIGINT, as the only one of its process."""
    try:
        await serve_until_stopped(config, source)
    finally:
        # The handlers go with the event loop: one more signal between its end and the exit would kill the
        # process, and a clean end would be reported as a crash.
        signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP_SIGNALS, signal.SIGHUP))


async def serve_until_stopped(config: Config, source: ConfigSource) -> None:
    """Build the proxy, listen once discovery was heard, and shut down gracefully at a signal."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop.set)
    settings = config.settings
    limits = divide_descriptors(config.sockets)
    pool = ConnectionPool(
        config.connect_timeout_s, config.idle_s, limits.upstream_connections, settings.handshake_price
    )
    driver = EventLoopDriver(settings, config.seed, pool, config.discovery)
    reloader = Reloader(source, config, driver)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    listener = ClientListener(driver, {c.name: c for c in settings.classes}, limits.client_connections)
    driver.start(config.cached_list)
    freeze_startup_objects()
    # What discovery's agent has counts as notified from our first moment on, and the cached list may be old.
    # A watch that stands and brings no list would never end the wait, hence the time limit.
    await wait_for_any(driver.discovery_reported, stop, timeout_s=POLLED_LIST_TIMEOUT_S)
    if not stop.is_set():
        address = listener.listen(config.listen)
        log.info("%s listens on %s:%d", config.name, *address)
        await stop.wait()
        log.info("stopping")
        longest_deadline_us = max(c.deadline_us for c in settings.classes)
        await GracefulShutdown(listener, driver, longest_deadline_us / 1e6).run()
    reloader.close()


def exit_on_early_signals() -> None:
    """End at once with code 0 at a signal that comes before the event loop runs: nothing is accepted yet.

    `serve_until_stopped` replaces these handlers by its own.
    """
    for number in STOP_SIGNALS:
        signal.signal(number, exit_before_serving)


def exit_before_serving(number: int, frame: FrameType | None) -> NoReturn:
    """End the process, as a signal handler."""
    sys.exit(0)
