"""Limits and departures that backend servers state in their answers."""

import asyncio
from collections import Counter
from itertools import count

from builders_gateway import RunningNode, run_async, run_fleet
from heathermount.standins.platform_server import PlatformServerStandIn

# A server that states a limit may get half as many requests again, and a few more.
ALLOWED_RATIO = 1.5
ALLOWED_EXTRA_REQUESTS = 5


async def send_for(
    one: RunningNode, seconds: float, clients: int, **fields: str
) -> Counter[int]:
    """Send requests from several clients at once; return the counts of statuses."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    ids = count()
    statuses: Counter[int] = Counter()

    async def send_requests() -> None:
        while loop.time() < ends_at:
            request_id = f"{one.settings.node.name}-{next(ids)}"
            status, _, _ = await one.request(request_id=request_id, **fields)
            statuses[status] += 1
            await asyncio.sleep(0.01)

    await asyncio.gather(*(send_requests() for _ in range(clients)))
    return statuses


def count_allowed(rate: float, seconds: float) -> float:
    return ALLOWED_RATIO * rate * seconds + ALLOWED_EXTRA_REQUESTS


def state_limit(server: PlatformServerStandIn, rate: float) -> None:
    server.headers["Server-Limit"] = str(rate)


def test_a_server_gets_no_more_than_the_limit_it_states() -> None:
    """Guards against an overloaded server that asks for less and gets as much."""

    async def check() -> None:
        async with run_fleet(("pantry", "orders")) as (_, nodes):
            server = nodes[0].server
            state_limit(server, 10.0)
            assert (await nodes[1].request())[0] == 200
            sent_before = len(server.served)
            await asyncio.gather(*(send_for(one, 1.5, clients=5) for one in nodes))
            assert len(server.served) - sent_before <= count_allowed(10.0, 1.5)

    run_async(check)


def test_a_restarted_node_does_not_flood_a_limited_server() -> None:
    """Guards against requests of other nodes that a new process lets through.

    The process cannot know of the limit before the server has answered it.
    """

    async def check() -> None:
        async with run_fleet(("pantry", "orders")) as (_, nodes):
            server = nodes[0].server
            server.work_s = 0.3
            state_limit(server, 2.0)
            assert (await nodes[1].request())[0] == 200
            await nodes[0].stop()
            await nodes[0].start()
            sent_before = len(server.served)
            await send_for(nodes[1], 1.0, clients=20)
            assert len(server.served) - sent_before <= count_allowed(2.0, 1.0)

    run_async(check)


def test_a_stated_departure_outlives_the_node_beside_the_server() -> None:
    """Guards against requests to a leaving server whose own node has forgotten it.

    The node that passed the answer on must remember the departure, because the node
    beside the server may start again before the departure is saved.
    """

    async def check() -> None:
        async with run_fleet(("pantry", "orders")) as (store, nodes):
            server = nodes[0].server
            server.headers["Server-Leaving"] = "1"
            assert (await nodes[1].request(request_id="r-1"))[0] == 200
            await nodes[0].kill()
            store.items.pop("departures/n-0", None)
            server.headers.clear()
            await nodes[0].start()
            await asyncio.sleep(0.5)
            assert (await nodes[1].request(request_id="r-2"))[0] == 503
            assert server.served_request_ids() == ["r-1"]

    run_async(check)


def test_a_server_that_states_its_departure_gets_no_more_requests() -> None:
    """Guards against requests to a server that names its departure only in answers."""

    async def check() -> None:
        async with run_fleet(("pantry", "pantry")) as (_, nodes):
            leaving, staying = (one.server for one in nodes)
            leaving.headers["Server-Leaving"] = "1"
            for i in range(40):
                assert (await nodes[i % 2].request(request_id=f"r-{i}"))[0] == 200
            assert len(leaving.served) == 1
            assert len(staying.served) == 39

    run_async(check)


def test_requests_beyond_a_limit_are_served_by_other_servers() -> None:
    """Guards against refusals and waits while a server without a limit has room."""

    async def check() -> None:
        async with run_fleet(("pantry", "pantry", "orders")) as (_, nodes):
            limited, unlimited = (one.server for one in nodes[:2])
            state_limit(limited, 2.0)
            results = [await send_for(one, 1.0, clients=3) for one in nodes]
            statuses = sum(results, Counter())
            assert statuses.keys() == {200}
            assert len(limited.served) <= count_allowed(2.0, 1.0)
            assert len(unlimited.served) > 0.9 * statuses.total()

    run_async(check)


def test_refusals_of_a_limited_service_promise_not_run() -> None:
    """Guards against refused requests that run, and refusals without Retry-After."""

    async def check() -> None:
        async with run_fleet(("pantry", "orders")) as (_, nodes):
            server = nodes[0].server
            state_limit(server, 1.0)
            assert (await nodes[1].request())[0] == 200
            replies = await asyncio.gather(
                *(nodes[1].request(request_id=f"r-{i}") for i in range(2, 12))
            )
            refused = [headers for status, headers, _ in replies if status == 503]
            assert len(refused) >= 8
            assert all(float(headers["retry-after"]) > 0.1 for headers in refused)
            assert len(server.served) == 1 + len(replies) - len(refused)

    run_async(check)


def test_full_rate_returns_when_the_server_states_no_limit() -> None:
    """Guards against a limit that is kept after its server has recovered."""

    async def check() -> None:
        async with run_fleet(("pantry", "orders")) as (_, nodes):
            server = nodes[0].server
            state_limit(server, 5.0)
            await send_for(nodes[1], 0.5, clients=3)
            server.headers.clear()
            # Shedding ends within two seconds of an overload.
            await send_for(nodes[1], 2.0, clients=3)
            statuses = await send_for(nodes[1], 1.0, clients=3)
            assert statuses[200] > 0.9 * statuses.total() > 50

    run_async(check)
