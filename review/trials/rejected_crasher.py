"""Trial: rejections of a request count as its completions, and end its quarantine.

Run with PYTHONPATH=src:target/deps:review/lib; TROUBLE=0 leaves out the rejections.
"""

import asyncio
import random
import sys

from fleet import (
    TROUBLE,
    Fleet,
    Node,
    Served,
    Server,
    make_configuration,
    make_route,
    run_case,
    send,
)

# The 14 machines of the site: dropoff has three of them.
SERVICES = ["pantry"] * 5 + ["orders"] * 3 + ["dispatch"] * 3 + ["dropoff"] * 3
SLOTS = 34
WORK_S = 0.088
CONFIRMS_PER_S = 41.6
DEADLINE_MS = 1200
STABLE_WINDOW_S = 3.0
# Retries later than that after the third crash that the rule allows.
ALLOWED = 3
# How long a crashed server is away.
DOWN_S = 2.0
# The request that crashes servers comes again after this time, at any machine.
POISON_PERIOD_S = 0.25
POISON = "/confirm/poison"
# So many servers reject this share of their requests for this time.
GREY_SERVERS = 2
GREY_SHARE = 0.45
GREY_S = 6.5
DURATION_S = 30.0


async def run(fleet: Fleet) -> tuple[str, int]:
    record = fleet.record
    rng = random.Random()
    # When the request crashed a server, and when it reached one.
    crashes: list[float] = []
    arrivals: list[float] = []
    background: set[asyncio.Task[None]] = set()
    grey: set[str] = set()
    stopping = asyncio.Event()

    async def start_again(node: Node, server: Server) -> None:
        await asyncio.sleep(DOWN_S)
        name, _, start = server.server_id.rpartition("-")
        node.server = Server(node, f"{name}-{int(start) + 1}", SLOTS, work, record)
        node.server.rejects = server.rejects
        await node.server.start()
        record.write("server-back", server=node.server.server_id)

    def rejects(server: Server, request: Served) -> bool:
        rejected = server.node.name in grey and rng.random() < GREY_SHARE
        if rejected:
            at = record.write(
                "rejected", id=request.request_id, server=server.server_id
            )
            if request.target == POISON:
                arrivals.append(at)
        return rejected

    async def work(server: Server, request: Served) -> tuple[int, bytes]:
        if request.target == POISON:
            at = record.write(
                "crash",
                id=request.request_id,
                server=server.server_id,
                running=server.running,
            )
            crashes.append(at)
            arrivals.append(at)
            server.stop()
            task = asyncio.create_task(start_again(server.node, server))
            background.add(task)
        await asyncio.sleep(WORK_S)
        return 200, request.target.encode()

    configuration = make_configuration(
        [
            make_route(
                "confirm", "dropoff", "safe", TargetLatency="300ms", Timeout="1200ms"
            )
        ],
        sorted(set(SERVICES)),
    )
    await fleet.start(SERVICES, configuration, work, SLOTS)
    for node in fleet.nodes:
        assert node.server is not None
        node.server.rejects = rejects

    async def send_often(prefix: str, target: str | None, period_s: float) -> None:
        count = 0
        async with asyncio.TaskGroup() as group:
            while not stopping.is_set():
                count += 1
                request_id = f"{prefix}{count}"
                node = rng.choice(fleet.nodes)
                path = target or f"/confirm/{request_id}"
                group.create_task(
                    send(node, request_id, "GET", path, record, deadline_ms=DEADLINE_MS)
                )
                await asyncio.sleep(period_s)

    confirms = asyncio.create_task(send_often("c", None, 1.0 / CONFIRMS_PER_S))
    await asyncio.sleep(6.0)
    if TROUBLE:
        names = [node.name for node in fleet.nodes if node.service == "dropoff"]
        grey.update(names[:GREY_SERVERS])
        record.write("grey", nodes=sorted(grey))
    poison = asyncio.create_task(send_often("p", POISON, POISON_PERIOD_S))
    await asyncio.sleep(GREY_S)
    grey.clear()
    record.write("grey-ended")
    await asyncio.sleep(DURATION_S - GREY_S)
    stopping.set()
    await asyncio.gather(confirms, poison)
    if len(crashes) < 3:
        return f"BUDGET held: the request crashed {len(crashes)} servers", 0
    bound_from = crashes[2] + STABLE_WINDOW_S
    late = [at for at in arrivals if at > bound_from]
    late_crashes = [at for at in crashes if at > bound_from]
    text = (
        f"later than {STABLE_WINDOW_S:g} s after it crashed the third server, "
        f"the request reached servers {len(late)} times and crashed "
        f"{len(late_crashes)} of them; {ALLOWED} times are allowed"
    )
    if len(late) > ALLOWED:
        return f"BUDGET broken: {text}", 1
    return f"BUDGET held: {text}", 0


if __name__ == "__main__":
    sys.exit(run_case(run, __file__))
