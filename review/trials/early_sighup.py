"""Trial: SIGHUP soon after the start of a node ends it.

Run with PYTHONPATH=src:target/deps:review/lib. Prints, by the milliseconds between the
start and the signal, how many of three nodes ended.
"""

import asyncio
import signal
import sys

from fleet import Fleet, Served, Server, make_configuration, make_route, run_case


async def run(fleet: Fleet) -> tuple[str, int]:
    async def work(server: Server, request: Served) -> tuple[int, bytes]:
        return 200, b""

    configuration = make_configuration(
        [make_route("stock", "pantry", "safe")], ["pantry"]
    )
    await fleet.start(["pantry", "pantry"], configuration, work, 72)
    node, ended = fleet.nodes[0], {}
    for delay_ms in (10, 20, 40, 60, 100, 200, 400):
        ended[delay_ms] = 0
        for _ in range(3):
            node.kill()
            node.start(first_start=False)
            await asyncio.sleep(delay_ms / 1000)
            node.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            assert node.process is not None
            ended[delay_ms] += node.process.poll() is not None
    return f"nodes ended: {ended}", int(any(ended.values()))


if __name__ == "__main__":
    sys.exit(run_case(run, __file__))
