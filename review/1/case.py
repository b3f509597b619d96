"""A departure that was acknowledged but not saved is lost with the process."""

import asyncio
import sys

from fleet import (
    TROUBLE,
    CannotRun,
    Fleet,
    Served,
    Server,
    make_configuration,
    make_route,
    run_case,
    send,
)

SERVICES = ["pantry", "pantry", "pantry", "orders", "orders", "dispatch"]
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# Longest outage of the store in the site file.
OUTAGE_S = 4.5
RESTART_DELAY_S = 0.5
# How long the last heartbeat before the departure is on its way.
HEARTBEAT_DELAY_S = 3.0
# How long the server keeps serving after it has said that it leaves.
STAY_S = 13.0


async def run(fleet: Fleet) -> tuple[str, int]:
    record = fleet.record
    runs: list[tuple[float, str, str]] = []

    async def work(server: Server, request: Served) -> tuple[int, bytes]:
        at = record.write("run", id=request.request_id, server=server.server_id)
        runs.append((at, server.server_id, request.request_id))
        await asyncio.sleep(0.05)
        return 200, request.target.encode()

    configuration = make_configuration(
        [make_route("stock", "pantry", "safe")], sorted(set(SERVICES))
    )
    await fleet.start(SERVICES, configuration, work, slots=72)
    leaving_node, client_nodes = fleet.nodes[0], fleet.nodes[3:]
    server = leaving_node.server
    assert server is not None
    stopping = asyncio.Event()

    async def client(number: int) -> None:
        node, count = client_nodes[number % len(client_nodes)], 0
        while not stopping.is_set():
            count += 1
            request_id = f"c{number}-{count}"
            await send(node, request_id, "GET", f"/stock/{request_id}", record)
            await asyncio.sleep(0.1)

    clients = [asyncio.create_task(client(number)) for number in range(6)]
    await asyncio.sleep(5.0)
    if not any(server_id == server.server_id for _, server_id, _ in runs):
        raise CannotRun("the leaving server got no request before its departure")
    server.stop_beats()
    late_heartbeat = server.make_heartbeat()
    heartbeat_sent_at = record.write("heartbeat-sent", server=server.server_id)
    outage_ends_at = record.now()
    if TROUBLE:
        record.write("store-silent")
        fleet.store.silent = True
        outage_ends_at += OUTAGE_S
    await asyncio.sleep(0.3)
    record.write("departure-sent", server=server.server_id)
    status = await server.call_node("DELETE")
    acknowledged_at = record.write("departure-answered", status=status)
    if status is None or not 200 <= status < 300:
        return "the departure was not acknowledged, so that nothing is bound", 0
    restarted_at = acknowledged_at
    if TROUBLE:
        record.write("node-killed", node=leaving_node.name)
        leaving_node.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        leaving_node.start(first_start=False)
        restarted_at = record.write("node-restarted", node=leaving_node.name)
    await asyncio.sleep(heartbeat_sent_at + HEARTBEAT_DELAY_S - record.now())
    status = await server.call_node("PUT", late_heartbeat)
    record.write("late-heartbeat-answered", status=status)
    if TROUBLE:
        await asyncio.sleep(outage_ends_at - record.now())
        fleet.store.silent = False
        fleet.store.cut_connections()
        record.write("store-back")
    await asyncio.sleep(acknowledged_at + STAY_S - record.now())
    stopping.set()
    await asyncio.gather(*clients)
    # Only machines in touch count: undisturbed for StableWindow, as is the store.
    bound_from = max(
        acknowledged_at + DRAIN_S,
        restarted_at + STABLE_WINDOW_S,
        outage_ends_at + STABLE_WINDOW_S,
    )
    late = [one for one in runs if one[1] == server.server_id and one[0] > bound_from]
    if late:
        return (
            f"DRAIN broken: {len(late)} requests reached {server.server_id} later than "
            f"{DRAIN_S:g} s after its departure was acknowledged, the last one "
            f"{late[-1][0] - acknowledged_at:.1f} s after"
        ), 1
    return "DRAIN held: no late request reached the server", 0


if __name__ == "__main__":
    sys.exit(run_case(run, __file__))
