"""Command line of heathermountd, the node daemon."""

import signal
import sys

import anyio
import uvloop
from absl import app, flags, logging

from heathermount.clocks import SystemClock
from heathermount.config.settings import Settings
from heathermount.errors import ConfigurationProblem
from heathermount.node.assembly import assemble_node
from heathermount.node.components import NodeComponents
from heathermount.node.node import Node
from heathermount.store import EtcdStore

__all__ = ["main", "run", "serve"]

EXIT_BAD_SETTINGS = 2

CONFIG_FLAG = flags.DEFINE_string("config", None, "Settings file of this node (TOML).")
CHECK_FLAG = flags.DEFINE_bool("check", False, "Check the settings and exit.")


async def serve(settings: Settings, source: str) -> None:
    """Run a node until SIGTERM or SIGINT, then shut it down gracefully."""
    components = NodeComponents.from_config(
        settings, source, EtcdStore.from_config(settings.store), SystemClock()
    )
    async with anyio.create_task_group() as tasks:
        node = assemble_node(components, tasks)
        tasks.start_soon(stop_on_signal, node)
        await node.run()
        tasks.cancel_scope.cancel()


async def stop_on_signal(node: Node) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            node.stop()


def main(arguments: list[str]) -> int:
    """Check the settings and serve; return the exit code.

    0 after a graceful shutdown or a successful check, 2 for invalid settings.
    """
    if CONFIG_FLAG.value is None or len(arguments) > 1:
        print("usage: heathermountd --config FILE", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    try:
        settings = Settings.from_file(CONFIG_FLAG.value)
        if CHECK_FLAG.value:
            print(f"{CONFIG_FLAG.value}: ok")
            return 0
        anyio.run(
            serve,
            settings,
            CONFIG_FLAG.value,
            backend="asyncio",
            backend_options={"loop_factory": uvloop.new_event_loop},
        )
    except* ConfigurationProblem as problems:
        for problem in flatten_group(problems):
            print(problem, file=sys.stderr)
        exit_code = EXIT_BAD_SETTINGS
    else:
        exit_code = 0
    return exit_code


def flatten_group(
    group: BaseExceptionGroup[ConfigurationProblem],
) -> list[BaseException]:
    """Return the exceptions in nested groups as one list."""
    exceptions: list[BaseException] = []
    for error in group.exceptions:
        exceptions += (
            flatten_group(error) if isinstance(error, BaseExceptionGroup) else [error]
        )
    return exceptions


def run() -> None:
    """Entry point of heathermountd."""
    app.run(main)


if __name__ == "__main__":
    run()
