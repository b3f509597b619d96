"""Entry point of the node process on the platform."""

import asyncio
import os
import signal
import sys
from typing import Final

import uvloop

from heathermount.clocks import SystemClock
from heathermount.gateway import GatewayNode, GatewaySettings
from heathermount.gateway.decision_log import DecisionLog
from heathermount.gateway.log_writer import NonBlockingLineWriter, configure_logging
from heathermount.gateway.settings_reloader import (
    SettingsReloader,
    read_settings_with_retry,
)
from heathermount.platform.configuration import PlatformConfigurationReader
from heathermount.platform.dialect import PlatformDialect
from heathermount.platform.heartbeats import HeartbeatHandler
from heathermount.platform.store import PlatformStore

__all__ = ["main", "run"]

# Path of the settings file, which the platform renders from
# deploy/node.toml.template.
SETTINGS_PATH_VARIABLE: Final = "HEATHERMOUNT_CONFIG"

EXIT_INVALID_SETTINGS: Final = 2


async def serve(
    settings: GatewaySettings, settings_path: str, writer: NonBlockingLineWriter
) -> None:
    """Run a node until SIGTERM, then stop it gracefully.

    SIGHUP and changes of the settings file reload the settings.
    """
    clock = SystemClock()
    store = PlatformStore.from_config(settings.store.endpoint, settings.store.timeout_s)
    node = GatewayNode.from_config(
        settings,
        store,
        PlatformConfigurationReader(store),
        PlatformDialect(),
        clock,
        DecisionLog(clock, writer),
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, node.stop)
    reloader = SettingsReloader(settings_path, node.apply_settings)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    watch_task = loop.create_task(reloader.watch())
    heartbeats = HeartbeatHandler(
        node.executor, settings.node.service, node.departure_store.save
    )
    await node.run(heartbeats.handle)
    watch_task.cancel()


def main() -> int:
    """Load the settings and run a node; return the exit status."""
    writer = configure_logging()
    settings_path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
    if not settings_path:
        print(f"set {SETTINGS_PATH_VARIABLE} to the settings file", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    try:
        settings = read_settings_with_retry(settings_path)
    except ExceptionGroup as problems:
        # The message of each problem includes its remedy.
        for problem in problems.exceptions:
            print(problem, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(settings, settings_path, writer))
    return 0


def run() -> None:
    sys.exit(main())
