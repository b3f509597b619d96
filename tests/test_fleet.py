"""Tests of a small fleet of real processes with injected failures."""

import os
import time
from collections.abc import AsyncIterator

import anyio
import pytest

from builders_fleet import Client, find_runs, get_reason, make_uuid7_at, wait_for
from heathermount.runner.fleet import Fleet
from heathermount.runner.topologies import SMALL_FLEET
from heathermount.standins.http_client import HttpResponse

pytestmark = pytest.mark.anyio


@pytest.fixture(scope="module")
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(scope="module")
async def fleet(anyio_backend: str) -> AsyncIterator[Fleet]:
    """Run one fleet for all tests of this module; check its invariants at the end."""
    async with Fleet(SMALL_FLEET, seed=1) as started:
        yield started
        assert await started.violations() == {}


REFUSED_REQUESTS = [
    ("GET", "/pantry/stock", {"authorization": ""}, b"", 401, "key-missing"),
    ("GET", "/pantry/stock", {"authorization": "Bearer x"}, b"", 401, "key-unknown"),
    ("GET", "/nowhere", {}, b"", 404, "route-unknown"),
    ("POST", "/pantry/reserve", {}, b"", 404, "route-unknown"),
    ("POST", "/orders/restock", {}, b"x", 400, "idempotency-key-required"),
    ("GET", "/pantry/stock", {"x-long": "x" * 20_000}, b"", 431, "header-too-large"),
    ("GET", "/pantry/stock", {}, b"x" * 1_100_000, 413, "body-too-large"),
]


@pytest.mark.parametrize(
    ("method", "path", "headers", "body", "status", "reason"), REFUSED_REQUESTS
)
async def test_invalid_request_is_refused_with_its_reason(
    fleet: Fleet,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    status: int,
    reason: str,
) -> None:
    """Guards against an invalid request that runs or gets another error code.

    Clients handle refusals by status and reason, so both must stay stable.
    """
    answer = await Client(fleet).call("pantry-1", path, method, body, **headers)
    assert answer is not None
    assert (answer.status, get_reason(answer)) == (status, reason)
    assert answer.text_header(b"heathermount-outcome") == "not-run"


async def test_backend_server_sees_organisation_but_no_key(fleet: Fleet) -> None:
    """Guards against a spoofed organisation and a leaked API key.

    The caller sends the reserved headers itself. The node must replace them, and
    must not forward the API key to the backend server.
    """
    client = Client(fleet, "cart-2")
    answer = await client.call(
        "orders-1",
        "/orders/status",
        x_test_id="isolated",
        heathermount_organisation="cart-1",
        heathermount_importance="0",
    )
    assert answer is not None and answer.status == 200
    (run,) = find_runs(fleet, "isolated")
    assert run.organisation == "cart-2"
    assert not run.key_visible


async def test_same_idempotency_key_at_all_nodes_runs_once(fleet: Fleet) -> None:
    """Guards against a second run when a request arrives at all nodes at once.

    The claim owner grants one of the concurrent claims. The other nodes must return
    the response of that run.
    """
    client = Client(fleet)
    answers: list[HttpResponse | None] = []
    key = make_uuid7_at(time.time())

    async def send(node: str) -> None:
        answers.append(await client.send_order(node, key, "once"))

    async with anyio.create_task_group() as tasks:
        for node in fleet.members:
            tasks.start_soon(send, node)
    assert len(find_runs(fleet, "once")) == 1
    bodies = {answer.body for answer in answers if answer is not None}
    assert len(bodies) == 1
    assert {answer.status for answer in answers if answer is not None} == {200}


async def test_withdrawn_key_is_refused_while_store_is_down(fleet: Fleet) -> None:
    """Guards against a withdrawn API key that works until the store is back.

    The store fails right after the withdrawal is written. Nodes that have not read
    it must get it from their peers.
    """
    client = Client(fleet, "cart-4")
    for node in fleet.members:
        answer = await client.call(node, "/pantry/stock")
        assert answer is not None and answer.status == 200
    assert fleet.operator is not None
    await fleet.operator.withdraw_key(client.key.split("_")[1], "test")
    await fleet.set_store_faults(down=True)
    withdrawn_at = time.monotonic()

    async def key_is_refused_everywhere() -> bool:
        answers = [await client.call(node, "/pantry/stock") for node in fleet.members]
        return all(get_reason(answer) == "key-withdrawn" for answer in answers)

    try:
        await wait_for(key_is_refused_everywhere, 5.0)
        # The nodes still reach each other, so the fleet keeps serving without its
        # store.
        await anyio.sleep(max(0.0, withdrawn_at + 5.0 - time.monotonic()))
        answer = await Client(fleet).call("pantry-1", "/pantry/stock")
        assert answer is not None and answer.status == 200
    finally:
        await fleet.set_store_faults(down=False)


async def test_crashing_request_loses_at_most_two_servers(fleet: Fleet) -> None:
    """Guards against a request that crashes one backend server after the other.

    The caller keeps sending the request to different nodes. After two losses, its
    fingerprint must be quarantined in the whole fleet.
    """
    client = Client(fleet)
    reasons = []
    for number in range(12):
        node = list(fleet.members)[number % len(fleet.members)]
        answer = await client.call(
            node, "/pantry/stock/crash-9", x_test_id=f"crash.{number}"
        )
        reasons.append(get_reason(answer))
    lost_incarnations = {
        run.incarnation
        for run in fleet.run_records()
        if run.test_id.startswith("crash.") and run.ran
    }
    assert 1 <= len(lost_incarnations) <= 2
    assert reasons[-1] in ("quarantined", "no-server")
    await fleet.wait_ready(fleet.members)


async def test_graceful_stop_of_a_node_fails_no_request(fleet: Fleet) -> None:
    """Guards against a graceful stop that fails requests.

    Callers keep sending requests through other nodes while one node drains, so some
    of the requests reach the node that stops.
    """
    client = Client(fleet)
    is_sending = True
    failures: list[str] = []

    async def send_requests(entry: str) -> None:
        number = 0
        while is_sending:
            number += 1
            answer = await client.call(entry, f"/pantry/stock/{number}")
            if answer is None or answer.status != 200:
                failures.append(get_reason(answer))
            await anyio.sleep(0.1)

    async with anyio.create_task_group() as tasks:
        for entry in ("pantry-1", "orders-1", "dropoff-1"):
            tasks.start_soon(send_requests, entry)
        await anyio.sleep(0.5)
        assert await fleet.terminate("pantry-2") == 0
        is_sending = False
    assert failures == []
    fleet.restart("pantry-2")
    await fleet.wait_ready(["pantry-2"])


async def test_killed_claim_owner_never_causes_a_second_run(fleet: Fleet) -> None:
    """Guards against a second run of a request whose claim was lost.

    Both nodes that may own the claims are killed after the orders ran, so the new
    owner does not know their keys. It must refuse keys that may have run before,
    with and without a timestamp in the key, and grant keys issued since.
    """
    client = Client(fleet)
    orders = [(make_uuid7_at(time.time()), f"order.{n}") for n in range(12)]
    opaque_orders = [(f"opaque-{os.getpid()}-{n}", f"opaque.{n}") for n in range(12)]
    for key, test_id in orders + opaque_orders:
        await client.send_order("pantry-1", key, test_id)
    await fleet.kill("orders-1")
    await fleet.kill("orders-2")
    fleet.restart("orders-1")
    fleet.restart("orders-2")
    await fleet.wait_ready(["orders-1", "orders-2"])

    async def claim_owner_decides() -> bool:
        answer = await client.send_order("pantry-1", *orders[0])
        return get_reason(answer) in ("outcome-unknown", "already-ran")

    await wait_for(claim_owner_decides, 30.0)
    for key, test_id in orders + opaque_orders:
        for node in ("pantry-1", "orders-2"):
            answer = await client.send_order(node, key, test_id)
            assert answer is None or answer.status != 200, "an order ran again"
        assert len(find_runs(fleet, test_id)) == 1

    async def new_order_runs() -> bool:
        answer = await client.send_order("pantry-1", make_uuid7_at(time.time()), "new")
        return answer is not None and answer.status == 200

    await wait_for(new_order_runs, 10.0)


async def test_node_starts_while_store_is_down(fleet: Fleet) -> None:
    """Guards against a node that cannot start while the store is down.

    It must get the configuration and rosters from its peers and serve calls. Its
    backend server stays out of the roster, which `describe_readiness` must report.
    """
    client = Client(fleet)
    await fleet.set_store_faults(down=True)
    try:
        await fleet.kill("dropoff-1")
        fleet.restart("dropoff-1")

        async def serves_calls() -> bool:
            answer = await client.call("dropoff-1", "/pantry/stock")
            return answer is not None and answer.status == 200

        await wait_for(serves_calls)

        async def reports_missing_roster_entry() -> bool:
            state = await fleet.describe_readiness("dropoff-1")
            return "not in the roster yet" in state

        await wait_for(reports_missing_roster_entry)
    finally:
        await fleet.set_store_faults(down=False)
    await fleet.wait_ready(["dropoff-1"])
