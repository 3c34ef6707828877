"""Builds and runs the proxy of this process.

`command.main` reads the configuration and runs `serve`. SIGTERM and SIGINT start the graceful shutdown
(`graceful_shutdown`); SIGHUP reloads the configuration (`reload`). The module keeps no state between calls.
"""

from __future__ import annotations

import asyncio
import gc
import logging
from dataclasses import dataclass

from load_balancer.net.client.client_listener import ClientListener
from load_balancer.net.driver.event_loop_driver import EventLoopDriver
from load_balancer.net.receive_scheduler import ReceiveScheduler
from load_balancer.net.shared_resources import SharedResources
from load_balancer.net.upstream.connection_pool import ConnectionPool
from load_balancer.process.allocator import configure_allocator, return_free_memory
from load_balancer.process.config import Config, ConfigSource
from load_balancer.process.descriptor_limits import divide_descriptors
from load_balancer.process.graceful_shutdown import GracefulShutdown
from load_balancer.process.memory_guard import MemoryGuard
from load_balancer.process.memory_limits import MIB, divide_memory, limit_connections, resident_bytes
from load_balancer.process.reload import Reloader
from load_balancer.process.signals import RELOAD_SIGNAL, STOP_SIGNALS, block_signals

log = logging.getLogger("load_balancer")

# A restarted proxy must be ready within 6 s on short runs, of which the start of the process takes a part.
FIRST_LIST_WAIT_S = 4.5


async def serve(config: Config, source: ConfigSource) -> None:
    """Run the proxy until SIGTERM or SIGINT; call this once per process."""
    try:
        await serve_until_stopped(config, source)
    finally:
        block_signals()


async def serve_until_stopped(config: Config, source: ConfigSource) -> None:
    """Build the proxy, listen after discovery has first reported, and shut down on a stop signal."""
    configure_allocator()
    stop = install_stop_handlers()
    proxy = build_proxy(config)
    reloader = Reloader(source, config, proxy.driver)
    asyncio.get_running_loop().add_signal_handler(RELOAD_SIGNAL, reloader.reload)
    proxy.driver.start(config.cached_list)
    freeze_startup_objects()
    # From its start, the process counts as notified of the list that discovery's agent holds, and the cached
    # list may be outdated. Discovery may be slow, or down and silent.
    await wait_for_any(proxy.driver.discovery_reported, stop, timeout_s=FIRST_LIST_WAIT_S)
    if not stop.is_set():
        guard = proxy.limit_memory(config)
        address = proxy.listener.listen(config.listen)
        log.info("%s listens on %s:%d", config.name, *address)
        await stop.wait()
        log.info("stop signal received; shutting down gracefully")
        await GracefulShutdown(proxy.listener, proxy.driver, config.settings.longest_deadline_s).run()
        guard.close()
    reloader.close()


@dataclass(frozen=True, slots=True)
class Proxy:
    """The parts of a proxy that `serve_until_stopped` controls."""

    driver: EventLoopDriver
    listener: ClientListener
    shared: SharedResources

    def limit_memory(self, config: Config) -> MemoryGuard:
        """Limit what may be held for peers to what the ready process leaves, and start the guard."""
        held_bytes = resident_bytes()
        limits = divide_memory(config.memory_mb * MIB, held_bytes).limits
        self.shared.budget.limits = limits
        log.info(
            "memory: %d of %d KiB held when ready; requests may hold %d KiB, responses %d KiB",
            held_bytes // 1024,
            config.memory_mb * 1024,
            limits.requests_bytes // 1024,
            limits.responses_bytes // 1024,
        )
        return MemoryGuard(
            config.memory_mb * MIB, self.listener, self.shared, resident_bytes, return_free_memory
        )


def build_proxy(config: Config) -> Proxy:
    """Create the parts of a proxy and connect them; nothing listens or connects yet."""
    settings = config.settings
    division = divide_memory(config.memory_mb * MIB, resident_bytes())
    descriptors = divide_descriptors(config.sockets)
    limits = limit_connections(descriptors, division.connections_bytes)
    shared = SharedResources()
    scheduler = ReceiveScheduler()
    pool = ConnectionPool(
        config.connect_timeout_s,
        config.idle_s,
        limits.upstream_connections,
        settings.handshake_cost,
        scheduler,
        shared,
    )
    driver = EventLoopDriver(settings, config.seed, pool, config.discovery)
    classes = {request_class.name: request_class for request_class in settings.classes}
    listener = ClientListener(
        driver, classes, limits.client_connections, scheduler, shared, descriptors.client_connections
    )
    return Proxy(driver, listener, shared)


def install_stop_handlers() -> asyncio.Event:
    """Install handlers of the stop signals that set an event, and return the event."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for stop_signal in STOP_SIGNALS:
        loop.add_signal_handler(stop_signal, stop.set)
    return stop


async def wait_for_any(*events: asyncio.Event, timeout_s: float) -> None:
    """Wait until one of the events is set or the timeout expires."""
    waits = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(waits, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


def freeze_startup_objects() -> None:
    """Exclude the objects that exist at startup from garbage collection.

    They live until the process exits. Each full collection would traverse them and pause the process.
    """
    gc.collect()
    gc.freeze()
