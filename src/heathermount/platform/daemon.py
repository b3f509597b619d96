"""Command line of the node on the platform."""

import asyncio
import os
import signal
import sys
from typing import Final

import uvloop

from heathermount.clocks import SystemClock
from heathermount.gateway import GatewayNode, GatewaySettings
from heathermount.gateway.decisions import DecisionLog
from heathermount.gateway.logs import LineWriter, start_logging
from heathermount.gateway.reloading import SettingsReloader, read_settings
from heathermount.platform.dialect import PlatformDialect
from heathermount.platform.heartbeats import HeartbeatListener
from heathermount.platform.operator import PlatformConfigurationReader
from heathermount.platform.store import PlatformStore

__all__ = ["main", "run"]

# Names the settings file, which the platform renders from deploy/node.toml.template.
SETTINGS_VARIABLE: Final = "HEATHERMOUNT_CONFIG"

EXIT_BAD_SETTINGS: Final = 2


async def serve(settings: GatewaySettings, path: str, writer: LineWriter) -> None:
    """Run a node until SIGTERM; then stop it gracefully."""
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
    reloader = SettingsReloader(path, node.apply_settings)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    watching = loop.create_task(reloader.watch())
    heartbeats = HeartbeatListener(
        node.execution, settings.node.service, node.departures.save
    )
    await node.run(heartbeats.handle)
    watching.cancel()


def main() -> int:
    """Check the settings and serve; return the exit code."""
    writer = start_logging()
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(f"set {SETTINGS_VARIABLE} to the settings file", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        settings = read_settings(path)
    except ExceptionGroup as problems:
        # All problems of the file, each with its remedy.
        for problem in problems.exceptions:
            print(problem, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(settings, path, writer))
    return 0


def run() -> None:
    sys.exit(main())
