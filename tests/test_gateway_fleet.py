"""Fleets of gateway nodes with stand-ins for the platform's store and servers."""

import asyncio
import time

import msgspec
import pytest

from builders_gateway import (
    KEY,
    RunningNode,
    knows_all_servers,
    make_document,
    make_organisation,
    make_route,
    run_async,
    run_fleet,
    wait_for,
)
from heathermount.framing import MAX_FRAME_BYTES
from heathermount.gateway.graceful_stop import OFFER_GRACE_RATIO
from heathermount.gateway.http_server import HttpLimits
from heathermount.gateway.messages import Execute
from heathermount.gateway.quota import choose_holders
from heathermount.standins.platform_client import read_response, send_request
from heathermount.standins.platform_operator import encode_configuration
from heathermount.standins.platform_server import Fault, ServedRequest

ROUTES = [
    make_route(),
    make_route("order", "/order/", ("orders",), idempotent=False),
    make_route("ledger", "/ledger/", ("orders",), public=True),
]


def test_request_is_served_through_two_nodes() -> None:
    """Guards against headers, bodies or identities that are lost between nodes.

    The request enters at the node of one service and runs beside the other.
    """

    async def check() -> None:
        async with run_fleet(("pantry", "orders"), make_document(1, ROUTES)) as (
            _,
            nodes,
        ):
            status, headers, body = await nodes[0].request("/order/7", "r-7")
            assert (status, body) == (200, b"i-1 /order/7")
            assert headers["x-heathermount-response-stamp"] == "stamp-1"
            assert headers["x-heathermount-request-id"] == "r-7"
            (request,) = nodes[1].server.served
            assert request.headers["x-heathermount-tenant"] == "anna"
            assert request.headers["x-heathermount-caller-service"] == "pantry"
            assert request.headers["host"] == "shop.example"
            assert "x-heathermount-key" not in request.headers

    run_async(check)


@pytest.mark.parametrize(
    ("target", "key", "status", "reason"),
    [
        ("/stock/1", "", 401, "key-missing"),
        ("/stock/1", "wrong", 401, "key-unknown"),
        ("/nowhere/1", KEY.decode(), 404, "route-unknown"),
        ("/order/1", KEY.decode(), 503, "no-server"),
    ],
)
def test_refusal_carries_status_and_reason(
    target: str, key: str, status: int, reason: str
) -> None:
    """Guards against refusals with a wrong reason, outcome or Retry-After header.

    Here only the 503 may ask the client to retry, and no refused request may run.
    """

    async def check() -> None:
        async with run_fleet(("pantry",), make_document(1, ROUTES)) as (_, nodes):
            received_status, headers, _ = await nodes[0].request(target, key=key)
            assert (received_status, headers["heathermount-reason"]) == (status, reason)
            assert headers["heathermount-outcome"] == "not-run"
            assert ("retry-after" in headers) is (status == 503)
            assert not nodes[0].server.served

    run_async(check)


def test_reserved_headers_of_clients_are_dropped() -> None:
    """Guards against clients that forge their organisation or caller service.

    The node must replace reserved headers with its own values, and refuse a request
    with two keys.
    """

    async def check() -> None:
        async with run_fleet(("pantry",)) as (_, nodes):
            forged = {
                "X-Heathermount-Tenant": "bert",
                "X-Heathermount-Caller-Service": "orders",
                "X-Heathermount-Expected-Instance": "i-9",
                "X-Other": "kept",
            }
            assert (await nodes[0].request(headers=forged))[0] == 200
            headers = nodes[0].server.served[0].headers
            assert headers["x-heathermount-tenant"] == "anna"
            assert headers["x-heathermount-caller-service"] == "pantry"
            assert headers["x-heathermount-expected-instance"] == "i-0"
            assert headers["x-other"] == "kept"
            twice = {"X-Heathermount-Key": "key-of-bert"}
            assert (await nodes[0].request(headers=twice))[0] == 400

    run_async(check)


def test_oversized_body_does_not_fail_other_calls_on_its_link() -> None:
    """Guards against a long body that fails other calls on the same link.

    A peer closes the connection on a frame above the limit, so the entry node must
    refuse a body that does not fit, whatever the configured body limit.
    """

    async def check() -> None:
        limits = HttpLimits(max_body_bytes=4 * MAX_FRAME_BYTES)
        document = msgspec.structs.replace(make_document(), limits=limits)
        async with run_fleet(("orders", "pantry"), document) as (_, nodes):
            release = asyncio.Event()

            async def run_until_released(_: ServedRequest) -> int:
                await release.wait()
                return 200

            nodes[1].server.work = run_until_released
            other = asyncio.create_task(nodes[0].request(request_id="r-other"))
            await wait_for(lambda: "r-other" in nodes[1].server.served_request_ids())
            status, _, _ = await nodes[0].request(
                method="POST", body=b"a" * (MAX_FRAME_BYTES + 1)
            )
            assert status == 413
            release.set()
            assert (await other)[0] == 200
            assert nodes[1].server.served_request_ids() == ["r-other"]

    run_async(check)


def test_revoked_key_is_refused_on_an_open_connection() -> None:
    """Guards against a revoked key that still works on an open connection.

    The key must be checked on each request, not once per connection.
    """

    async def check() -> None:
        async with run_fleet(("pantry",)) as (store, nodes):
            host, _, port = nodes[0].settings.listen.outbound.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            request = (
                b"GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\n"
                b"X-Heathermount-Request-Id: r\r\nX-Heathermount-Key: %b\r\n\r\n" % KEY
            )
            writer.write(request)
            assert (await read_response(reader))[0] == 200
            changed = make_document(2, organisations=[make_organisation(keys=["new"])])
            store.put_as_operator("op/config", encode_configuration(changed))
            async with asyncio.timeout(2.0):
                while True:
                    writer.write(request)
                    if (await read_response(reader))[0] == 401:
                        break
            writer.close()

    run_async(check)


def test_node_refuses_requests_once_its_configuration_is_stale() -> None:
    """Guards against revoked keys that still work during an outage of the store.

    A node that can no longer confirm its configuration cannot learn of revocations.
    """

    async def check() -> None:
        async with run_fleet(("pantry",), revocation="1s") as (store, nodes):
            assert (await nodes[0].request())[0] in (200, 503)
            store.down = True
            await asyncio.sleep(1.0)
            status, headers, _ = await nodes[0].request()
            assert (status, headers["heathermount-reason"]) == (
                503,
                "configuration-stale",
            )
            status, _, _ = await nodes[0].request("/nowhere/")
            assert status == 503

    run_async(check)


@pytest.mark.parametrize(("target", "key"), [("/new/1", KEY), ("/stock/1", b"new")])
def test_unknown_route_or_key_is_not_final_at_a_node_that_may_lack_it(
    target: str, key: bytes
) -> None:
    """Guards against a 404 or 401 for what a change has added meanwhile.

    The node cannot confirm its configuration within the propagation bound; its keys
    are still fresh.
    """

    async def check() -> None:
        bounds = {"propagation": "1s", "revocation": "60s"}
        async with run_fleet(("pantry",), **bounds) as (store, nodes):
            store.down = True
            await asyncio.sleep(1.1)
            status, headers, _ = await nodes[0].request(target, key=key.decode())
            assert (status, headers["heathermount-reason"]) == (
                503,
                "configuration-stale",
            )
            assert "retry-after" in headers
            assert (await nodes[0].request())[0] == 200

    run_async(check)


def test_node_cut_off_from_the_store_is_updated_by_its_peer() -> None:
    """Guards against refusals at a node that only its peers can update.

    Pings must carry both new configurations and confirmations of the current one.
    """

    async def check() -> None:
        async with run_fleet(("pantry", "pantry"), revocation="2s") as (store, nodes):
            await nodes[0].disconnect_from_store()
            changed = make_document(2, organisations=[make_organisation(keys=["new"])])
            store.put_as_operator("op/config", encode_configuration(changed))
            async with asyncio.timeout(2.0):
                while (await nodes[0].request(key="new"))[0] != 200:  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
            # Longer than the node's own last confirmation stays fresh.
            await asyncio.sleep(2.0)
            assert (await nodes[0].request(key="new"))[0] == 200
            assert (await nodes[0].request())[0] == 401

    run_async(check)


def test_graceful_stop_fails_no_request() -> None:
    """Guards against requests that fail because a node stops gracefully.

    Requests arrive at the stopping node directly and through a peer.
    """

    async def check() -> None:
        async with run_fleet(("pantry", "pantry"), grace="3s") as (_, nodes):
            for one in nodes:
                one.server.work_s = 0.3
            statuses: list[int] = []
            stopped = asyncio.Event()

            async def send(entry: RunningNode) -> None:
                while not stopped.is_set():
                    statuses.append((await entry.request())[0])

            async with asyncio.TaskGroup() as clients:
                for _ in range(4):
                    clients.create_task(send(nodes[0]))
                await asyncio.sleep(0.5)
                task = nodes[1].task
                assert task is not None
                nodes[1].node.stop()
                assert nodes[1].node.unready_reasons() == ["stopping"]
                direct = [
                    asyncio.create_task(nodes[1].request("/stock/2")) for _ in range(4)
                ]
                await asyncio.wait([task])
                stopped.set()
            statuses += [(await one)[0] for one in direct]
            assert set(statuses) == {200}

    run_async(check)


def test_stopping_node_first_keeps_running_peer_requests() -> None:
    """Guards against a rolling restart that loses a server for a whole stop.

    A stopping node must keep its healthy server offered to its peers for a part of
    the grace period.
    """

    async def check() -> None:
        async with run_fleet(("orders", "pantry"), grace="4s") as (_, nodes):
            task = nodes[1].task
            assert task is not None
            nodes[1].node.stop()
            stopped_at = time.monotonic()
            assert (await nodes[0].request())[0] == 200
            known = nodes[0].node.registry.nodes
            await wait_for(lambda: known["n-1"].server is None)
            assert time.monotonic() - stopped_at >= OFFER_GRACE_RATIO * 4.0
            assert (await nodes[0].request())[0] == 503
            assert not task.done()
            await asyncio.wait([task])

    run_async(check)


def test_shares_of_a_leaving_node_are_passed_on_before_it_ends() -> None:
    """Guards against an organisation that is refused until a dead node's lease ends.

    Found on trouble-1 of kds-mesh-large: machines whose servers had left ended
    without ending their leases, and held the only shares of busy organisations.
    """

    async def check() -> None:
        organisation = make_organisation(rate=8.0, burst=8.0)
        document = make_document(organisations=[organisation])
        async with run_fleet(("pantry", "pantry"), document) as (_, nodes):
            (name,) = choose_holders(organisation, ["n-0", "n-1"])
            holder, other = nodes if name == "n-0" else nodes[::-1]
            await holder.send_heartbeat("draining")
            known = other.node.registry.nodes
            await wait_for(lambda: known[name].server is None)
            await holder.kill()
            assert name in known
            await asyncio.sleep(0.5)
            assert (await other.request())[0] == 200

    run_async(check)


def test_node_registers_again_when_its_entry_is_missing() -> None:
    """Guards against a node that no peer finds although its lease seems valid.

    Found by the soak with seed 222: another node had been given the same lease, so
    renewals still succeeded.
    """

    async def check() -> None:
        async with run_fleet(("pantry", "orders")) as (store, nodes):
            key = "nodes/n-0"
            lease = store.items[key].lease_id
            store.lapse_leases()
            # Renewals of the expired lease succeed.
            store.leases[lease] = (float("inf"), 6.0)
            await wait_for(lambda: key in store.items)
            known = nodes[1].node.registry.nodes
            await wait_for(lambda: "n-0" in known and known["n-0"].server is not None)

    run_async(check)


def test_delayed_write_of_an_older_entry_is_overwritten() -> None:
    """Guards against a server hidden by a delayed write of an older entry.

    The store may apply a write whose answer was lost after a newer write.
    """

    async def check() -> None:
        async with run_fleet(("pantry", "orders")) as (store, nodes):
            known = nodes[1].node.registry.nodes
            older = msgspec.structs.replace(known["n-0"], server=None)
            store.put_as_operator("nodes/n-0", msgspec.msgpack.encode(older))
            await wait_for(lambda: known["n-0"].server is None)
            await wait_for(lambda: known["n-0"].server is not None)

    run_async(check)


def test_nodes_register_again_after_a_store_outage() -> None:
    """Guards against nodes that stay unregistered after an outage of the store.

    All leases expire during the outage; requests must be served meanwhile.
    """

    async def check() -> None:
        async with run_fleet(("pantry", "orders"), make_document(1, ROUTES)) as (
            store,
            nodes,
        ):
            store.down = True
            store.lapse_leases()
            await asyncio.sleep(0.5)
            assert (await nodes[0].request("/order/1"))[0] == 200
            store.down = False
            await wait_for(
                lambda: {"nodes/n-0", "nodes/n-1"} <= store.items.keys(), 2.0
            )
            assert all(knows_all_servers(one, nodes) for one in nodes)

    run_async(check)


@pytest.mark.parametrize(
    ("fault", "target", "status", "runs"),
    [
        # An idempotent request that made no calls is retried on another server.
        (Fault.ERROR, "/stock/1", 200, 2),
        (Fault.LOST, "/stock/1", 200, 2),
        (Fault.SHED, "/stock/1", 200, 1),
        # An order runs at most once; it is retried only if it certainly did not run.
        (Fault.LOST, "/order/1", 502, 1),
        (Fault.SHED, "/order/1", 200, 1),
    ],
)
def test_retries_only_requests_that_may_run_again(
    fault: Fault, target: str, status: int, runs: int
) -> None:
    """Guards against a non-idempotent request that runs twice.

    After a lost answer the request may have run; a shed request has not.
    """

    async def check() -> None:
        services = ("pantry", "orders", "pantry", "orders")
        async with run_fleet(services, make_document(1, ROUTES)) as (_, nodes):
            # The first answer shows that the route's requests make no calls.
            assert (await nodes[0].request(target, "r-0"))[0] == 200
            for one in nodes:
                one.server.served.clear()
                one.server.faults = [fault]
            nodes[2].server.faults = nodes[3].server.faults = []
            if target == "/order/1":
                nodes[3].server.faults = [] if fault is Fault.SHED else [fault]
            responses = [await nodes[0].request(target, f"r-{i}") for i in range(1, 5)]
            assert status in {one[0] for one in responses}
            served = [i for one in nodes for i in one.server.served_request_ids()]
            most = max(served.count(f"r-{i}") for i in range(1, 5))
            assert most <= runs

    run_async(check)


def test_call_is_charged_to_the_organisation_of_its_parent() -> None:
    """Guards against calls that are shed while their parent request runs in vain.

    A call on a public route has no key, so it must be charged to the organisation
    of the request that made it.
    """

    async def check() -> None:
        async with run_fleet(("pantry", "orders"), make_document(1, ROUTES)) as (
            _,
            nodes,
        ):
            seen: list[Execute] = []

            async def note_message(request: ServedRequest) -> int:
                contexts = nodes[1].node.executor.run_contexts
                seen.append(contexts[request.request_id.encode()].message)
                return 200

            async def make_call(request: ServedRequest) -> int:
                response = await send_request(
                    nodes[0].settings.listen.outbound,
                    "GET",
                    "/ledger/1",
                    request_id=f"{request.request_id}.c-1",
                    key="",
                )
                return response[0]

            nodes[0].server.work = make_call
            nodes[1].server.work = note_message
            assert (await nodes[0].request())[0] == 200
            (message,) = seen
            assert (message.account, message.organisation) == ("anna", "")

    run_async(check)


def test_time_waiting_for_calls_is_not_service_time() -> None:
    """Guards against a slow service that lowers the limits of its callers.

    A server's service time must exclude the time spent waiting for its calls.
    """

    async def check() -> None:
        async with run_fleet(("pantry", "orders"), make_document(1, ROUTES)) as (
            _,
            nodes,
        ):
            own_times_s: list[float] = []
            nodes[1].server.work_s = 0.3

            async def make_call(request: ServedRequest) -> int:
                response = await send_request(
                    nodes[0].settings.listen.outbound,
                    "GET",
                    "/ledger/1",
                    request_id=f"{request.request_id}.c-1",
                    key="",
                )
                context = nodes[0].node.executor.run_contexts[
                    request.request_id.encode()
                ]
                own_times_s.append(context.permit.compute_own_time_s(time.monotonic()))
                return response[0]

            nodes[0].server.work = make_call
            assert (await nodes[0].request())[0] == 200
            assert max(own_times_s) < 0.2

    run_async(check)


def test_metrics_count_decisions_by_result() -> None:
    """Guards against refusals, served requests or gauges missing from the metrics."""

    async def check() -> None:
        async with run_fleet(("pantry",)) as (_, nodes):
            await nodes[0].request()
            await nodes[0].request(key="wrong")
            status, _, body = await send_request(
                nodes[0].settings.listen.readiness, "GET", "/metrics"
            )
            text = body.decode()
            assert status == 200
            for line in (
                'heathermount_entries_total{result="served"} 1.0',
                'heathermount_entries_total{result="key-unknown"} 1.0',
                'heathermount_executions_total{result="served"} 1.0',
                "heathermount_configuration_version 1.0",
                'heathermount_server_seconds{quantile="0.99"}',
            ):
                assert line in text

    run_async(check)
