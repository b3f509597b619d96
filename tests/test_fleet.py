"""A small fleet of real processes under failures that are caused on purpose."""

import os
import time
from collections.abc import AsyncIterator

import anyio
import pytest

from builders_fleet import Client, make_uuid7_at, reason_of, runs_of, wait_for
from heathermount.runner.fleet import Fleet
from heathermount.runner.topologies import SMALL_FLEET
from heathermount.standins.http_client import HttpResponse

pytestmark = pytest.mark.anyio


@pytest.fixture(scope="module")
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(scope="module")
async def fleet(anyio_backend: str) -> AsyncIterator[Fleet]:
    """One fleet for the tests of this module, which run in order."""
    async with Fleet(SMALL_FLEET, seed=1) as started:
        yield started
        assert await started.violations() == {}


REFUSALS = [
    ("GET", "/pantry/stock", {"authorization": ""}, b"", 401, "key-missing"),
    ("GET", "/pantry/stock", {"authorization": "Bearer x"}, b"", 401, "key-unknown"),
    ("GET", "/nowhere", {}, b"", 404, "route-unknown"),
    ("POST", "/pantry/reserve", {}, b"", 404, "route-unknown"),
    ("POST", "/orders/restock", {}, b"x", 400, "idempotency-key-required"),
    ("GET", "/pantry/stock", {"x-long": "x" * 20_000}, b"", 431, "header-too-large"),
    ("GET", "/pantry/stock", {}, b"x" * 1_100_000, 413, "body-too-large"),
]


@pytest.mark.parametrize(
    ("method", "path", "headers", "body", "status", "reason"), REFUSALS
)
async def test_refuses_bad_input(
    fleet: Fleet,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    status: int,
    reason: str,
) -> None:
    """Guards against bad input that runs, or is refused without a stable code."""
    answer = await Client(fleet).call("pantry-1", path, method, body, **headers)
    assert answer is not None
    assert (answer.status, reason_of(answer)) == (status, reason)
    assert answer.text_header(b"heathermount-outcome") == "not-run"


async def test_backend_server_sees_organisation_but_no_key(fleet: Fleet) -> None:
    """Guards against a caller choosing its organisation or leaking its key."""
    client = Client(fleet, "cart-2")
    answer = await client.call(
        "orders-1",
        "/orders/status",
        x_test_id="isolated",
        heathermount_organisation="cart-1",
        heathermount_importance="0",
    )
    assert answer is not None and answer.status == 200
    (run,) = runs_of(fleet, "isolated")
    assert run.organisation == "cart-2"
    assert not run.key_visible


async def test_same_key_at_all_nodes_runs_once(fleet: Fleet) -> None:
    """Guards against a second run when a caller resends to other nodes at once."""
    client = Client(fleet)
    answers: list[HttpResponse | None] = []
    key = make_uuid7_at(time.time())

    async def send(node: str) -> None:
        answers.append(await client.order(node, key, "once"))

    async with anyio.create_task_group() as tasks:
        for node in fleet.members:
            tasks.start_soon(send, node)
    assert len(runs_of(fleet, "once")) == 1
    bodies = {answer.body for answer in answers if answer is not None}
    assert len(bodies) == 1
    assert {answer.status for answer in answers if answer is not None} == {200}


async def test_withdrawn_key_stops_although_the_store_fails(fleet: Fleet) -> None:
    """Guards against a withdrawal that waits for a store that is down."""
    client = Client(fleet, "cart-4")
    for node in fleet.members:
        answer = await client.call(node, "/pantry/stock")
        assert answer is not None and answer.status == 200
    assert fleet.operator is not None
    await fleet.operator.withdraw_key(client.key.split("_")[1], "test")
    await fleet.set_store_faults(down=True)
    withdrawn_at = time.monotonic()

    async def refused_everywhere() -> bool:
        answers = [await client.call(node, "/pantry/stock") for node in fleet.members]
        return all(reason_of(answer) == "key-withdrawn" for answer in answers)

    try:
        await wait_for(refused_everywhere, 5.0)
        # The nodes reach each other, so the fleet serves on without its store.
        await anyio.sleep(max(0.0, withdrawn_at + 5.0 - time.monotonic()))
        answer = await Client(fleet).call("pantry-1", "/pantry/stock")
        assert answer is not None and answer.status == 200
    finally:
        await fleet.set_store_faults(down=False)


async def test_request_that_crashes_servers_takes_two_at_most(fleet: Fleet) -> None:
    """Guards against a resent request that crashes one server after the other."""
    client = Client(fleet)
    reasons = []
    for number in range(12):
        node = list(fleet.members)[number % len(fleet.members)]
        answer = await client.call(
            node, "/pantry/stock/crash-9", x_test_id=f"crash.{number}"
        )
        reasons.append(reason_of(answer))
    lost = {
        run.incarnation
        for run in fleet.run_records()
        if run.test_id.startswith("crash.") and run.ran
    }
    assert 1 <= len(lost) <= 2
    assert reasons[-1] in ("quarantined", "no-server")
    await fleet.wait_ready(fleet.members)


async def test_planned_stop_of_a_node_cuts_no_request(fleet: Fleet) -> None:
    """Guards against requests that a graceful shutdown breaks off."""
    client = Client(fleet)
    stopping = True
    failures: list[str] = []

    async def keep_calling(entry: str) -> None:
        number = 0
        while stopping:
            number += 1
            answer = await client.call(entry, f"/pantry/stock/{number}")
            if answer is None or answer.status != 200:
                failures.append(reason_of(answer))
            await anyio.sleep(0.1)

    async with anyio.create_task_group() as tasks:
        for entry in ("pantry-1", "orders-1", "dropoff-1"):
            tasks.start_soon(keep_calling, entry)
        await anyio.sleep(0.5)
        assert await fleet.terminate("pantry-2") == 0
        stopping = False
    assert failures == []
    fleet.restart("pantry-2")
    await fleet.wait_ready(["pantry-2"])


async def test_killed_claim_owner_never_causes_a_second_run(fleet: Fleet) -> None:
    """Guards against orders that run again after their claims were lost."""
    client = Client(fleet)
    orders = [(make_uuid7_at(time.time()), f"order.{n}") for n in range(12)]
    opaque = [(f"opaque-{os.getpid()}-{n}", f"opaque.{n}") for n in range(12)]
    for key, test_id in orders + opaque:
        await client.order("pantry-1", key, test_id)
    await fleet.kill("orders-1")
    await fleet.kill("orders-2")
    fleet.restart("orders-1")
    fleet.restart("orders-2")
    await fleet.wait_ready(["orders-1", "orders-2"])

    async def claims_answer() -> bool:
        answer = await client.order("pantry-1", *orders[0])
        return reason_of(answer) in ("outcome-unknown", "already-ran")

    await wait_for(claims_answer, 30.0)
    for key, test_id in orders + opaque:
        for node in ("pantry-1", "orders-2"):
            answer = await client.order(node, key, test_id)
            assert answer is None or answer.status != 200, "an order ran again"
        assert len(runs_of(fleet, test_id)) == 1

    async def new_orders_run() -> bool:
        answer = await client.order("pantry-1", make_uuid7_at(time.time()), "new")
        return answer is not None and answer.status == 200

    await wait_for(new_orders_run, 10.0)


async def test_node_starts_without_the_store(fleet: Fleet) -> None:
    """Guards against a node that ends, or refuses all calls, without its store."""
    client = Client(fleet)
    await fleet.set_store_faults(down=True)
    try:
        await fleet.kill("dropoff-1")
        fleet.restart("dropoff-1")

        async def serves_with_its_peers_configuration() -> bool:
            answer = await client.call("dropoff-1", "/pantry/stock")
            return answer is not None and answer.status == 200

        await wait_for(serves_with_its_peers_configuration)

        async def says_what_is_missing() -> bool:
            state = await fleet.describe_readiness("dropoff-1")
            return "not in the roster yet" in state

        await wait_for(says_what_is_missing)
    finally:
        await fleet.set_store_faults(down=False)
    await fleet.wait_ready(["dropoff-1"])
