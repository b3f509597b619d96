"""Trial: bodies within MaxBodyBytes are refused, because the head counts as well.

Run with PYTHONPATH=src:target/deps:review/lib. Prints the status for each length.
"""

import asyncio
import sys

from fleet import Fleet, Served, Server, make_configuration, make_route, run_case, send

MAX_BODY_BYTES = 65536
LENGTHS = [MAX_BODY_BYTES // 2, MAX_BODY_BYTES - 100, MAX_BODY_BYTES]


async def run(fleet: Fleet) -> tuple[str, int]:
    async def work(server: Server, request: Served) -> tuple[int, bytes]:
        return 200, b""

    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": MAX_BODY_BYTES,
        "HeaderTimeout": "3s",
        "IdleTimeout": "15s",
    }
    configuration = make_configuration(
        [make_route("order", "orders", "unsafe")], ["orders"], Limits=limits
    )
    await fleet.start(["orders", "orders"], configuration, work, 100)
    await asyncio.sleep(3.0)
    statuses = {}
    for length in LENGTHS:
        statuses[length] = await send(
            fleet.nodes[0],
            f"r{length}",
            "POST",
            "/order/1",
            fleet.record,
            body=b"a" * length,
        )
    return f"statuses by length: {statuses}", int(413 in statuses.values())


if __name__ == "__main__":
    sys.exit(run_case(run, __file__))
