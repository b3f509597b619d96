"""Backend server stand-in, as an ASGI application.

It simulates service times, calls downstream services, sheds load, drains, crashes
on request, and records every request that reaches it.
"""

import hashlib
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any, BinaryIO, Final

import anyio
import msgspec

from heathermount.clocks import Clock
from heathermount.runner.backend_settings import (
    Behaviour,
    DownstreamCall,
    RouteDescription,
    ServerDescription,
)
from heathermount.standins.asgi_messages import (
    Receive,
    Request,
    Response,
    Scope,
    Send,
    cancel_on_disconnect,
    make_shed_response,
    read_body,
    read_request,
    send_response,
)
from heathermount.standins.downstream_calls import (
    encode_downstream_body,
    is_call_selected,
    record_downstream_response,
)
from heathermount.standins.http_client import (
    ConnectionPool,
    RequestBroken,
    RequestNotSent,
)
from heathermount.standins.records import (
    DownstreamResult,
    ResponseBody,
    RunOutcome,
    RunRecord,
    encode_response_body,
    write_record,
)

__all__ = ["HEALTH_PATH", "LOAD_PATH", "BackendServer"]

HEALTH_PATH: Final = "/standin/health"
LOAD_PATH: Final = "/standin/load"

# Factor by which service times are longer right after a start.
COLD_START_SLOWDOWN: Final = 4.0


class LoadSample(msgspec.Struct, frozen=True):
    """Load and health of the server at one time."""

    time: float
    running: int
    queued: int
    healthy: bool


class BackendServer:
    """A backend server and the records of its requests.

    The records and the behaviour survive a crash; queues and load samples do not.
    """

    __slots__ = (
        "_clock",
        "_idle_event",
        "_load_samples",
        "_random",
        "_record_file",
        "_slot_semaphore",
        "_started_at_s",
        "_vacancies",
        "behaviour",
        "description",
        "down",
        "draining",
        "incarnation",
        "node_client",
        "on_crash",
        "records",
        "request_count",
        "running_count",
        "waiting_count",
    )

    def __init__(
        self,
        description: ServerDescription,
        clock: Clock,
        random: Random,
        record_file: BinaryIO | None = None,
    ) -> None:
        self.description = description
        self.behaviour = Behaviour()
        self.node_client = (
            ConnectionPool(description.node) if description.node else None
        )
        self.records: list[RunRecord] = []
        self.on_crash: Callable[[], None] | None = None
        self.draining = False
        self.request_count = 0
        self._clock = clock
        self._random = random
        self._record_file = record_file
        self.start()

    def start(self) -> None:
        """Begin a new incarnation with empty queues and a cold start."""
        self.down = False
        self.draining = False
        self.running_count = 0
        self.waiting_count = 0
        self._idle_event = anyio.Event()
        self._slot_semaphore = anyio.Semaphore(self.description.slots)
        self._started_at_s = self._clock.monotonic()
        self.incarnation = f"{int(self._started_at_s * 1000):x}"
        self._load_samples: deque[LoadSample] = deque()
        self._record_load()

    def crash(self) -> None:
        """Mark the server as down; `on_crash` has to close its connections."""
        self.down = True
        if self.on_crash is not None:
            self.on_crash()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request (ASGI)."""
        body = await read_body(receive)
        if body is None:
            return
        request = read_request(scope, body)
        handler = CONTROL_HANDLERS.get((request.method, request.path))
        if handler is not None:
            await send_response(send, handler(self, request))
            return
        await self._serve(request, receive, send)

    async def _serve(self, request: Request, receive: Receive, send: Send) -> None:
        record = self._open_record(request)
        if self._is_full():
            self._close_record(record, RunOutcome.SHED)
            await send_response(send, make_shed_response())
            return
        response: Response | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(cancel_on_disconnect, receive, group.cancel_scope)
            response = await self._wait_for_slot_and_run(request, record)
            group.cancel_scope.cancel()
        if response is not None and not self.down:
            await send_response(send, response)

    def _is_full(self) -> bool:
        if self.behaviour.shed_all:
            return True
        return (
            self.running_count + self.waiting_count
            >= self.description.slots + self.description.backlog
        )

    async def _wait_for_slot_and_run(
        self, request: Request, record: RunRecord
    ) -> Response | None:
        slot_semaphore = self._slot_semaphore
        self.waiting_count += 1
        self._record_load()
        try:
            with anyio.move_on_after(request.deadline_s) as slot_wait:
                await slot_semaphore.acquire()
        except BaseException:
            self._close_record(record, RunOutcome.SHED)
            raise
        finally:
            self._change_counts(slot_semaphore, waiting=-1)
        if slot_wait.cancelled_caught:
            self._close_record(record, RunOutcome.SHED)
            return make_shed_response()
        self._change_counts(slot_semaphore, running=1)
        record.started = self._clock.monotonic()
        self._write_record(record)
        outcome = RunOutcome.CANCELLED
        try:
            outcome, response = await self._process(request, record)
            return response
        finally:
            slot_semaphore.release()
            self._change_counts(slot_semaphore, running=-1)
            if self.down and outcome is not RunOutcome.CRASHED:
                outcome = RunOutcome.LOST
            self._close_record(record, outcome)

    async def _process(
        self, request: Request, record: RunRecord
    ) -> tuple[RunOutcome, Response | None]:
        route = self._find_route(request.path)
        response_body = self._make_response_body(request)
        waited_s = record.started - record.arrived
        remaining_s = request.deadline_s and request.deadline_s - waited_s
        with anyio.move_on_after(remaining_s) as scope:
            await anyio.sleep(self._draw_service_time_s(route))
            if request.should_crash:
                self.crash()
                return RunOutcome.CRASHED, None
            await self._call_downstream_services(route, request, record, response_body)
        if scope.cancelled_caught:
            return self._make_result(RunOutcome.DEADLINE, 504, response_body)
        if any(not 200 <= result.status < 300 for result in record.deeper):
            return self._make_result(RunOutcome.DOWNSTREAM_FAILED, 502, response_body)
        if self._random.random() < self.behaviour.failing_share:
            return self._make_result(RunOutcome.FAILED, 500, response_body)
        if self._random.random() < self.behaviour.truncate_share:
            return self._make_result(RunOutcome.TRUNCATED, 200, response_body)
        return self._make_result(RunOutcome.ANSWERED, 200, response_body)

    def _make_result(
        self, outcome: RunOutcome, status: int, response_body: ResponseBody
    ) -> tuple[RunOutcome, Response]:
        response_body.outcome = outcome.value
        truncated = outcome is RunOutcome.TRUNCATED
        return outcome, Response(
            status, encode_response_body(response_body), truncated=truncated
        )

    def _make_response_body(self, request: Request) -> ResponseBody:
        test_id = request.get_header("x-test-id")
        return ResponseBody(
            test_id=test_id,
            organisation=request.get_header("heathermount-organisation"),
            server=self.description.name,
            service=self.description.service,
            root=request.get_header("heathermount-request"),
            depth=test_id.count("/"),
            path=request.path,
            outcome="",
            visited=[self.description.service],
            padding="x" * self.description.padding_bytes,
        )

    def _find_route(self, path: str) -> RouteDescription:
        matches = [
            route for route in self.description.routes if path.startswith(route.path)
        ]
        if not matches:
            return RouteDescription(path=path)
        return max(matches, key=lambda route: len(route.path))

    def _draw_service_time_s(self, route: RouteDescription) -> float:
        mean_s = (
            route.mean_ms / 1000 * self.behaviour.slowdown * self._cold_start_slowdown()
        )
        if route.distribution == "fixed":
            return mean_s
        return self._random.expovariate(1 / mean_s) if mean_s > 0 else 0.0

    def _cold_start_slowdown(self) -> float:
        if self.description.cold_start_s <= 0:
            return 1.0
        age_s = self._clock.monotonic() - self._started_at_s
        remaining = max(0.0, 1 - age_s / self.description.cold_start_s)
        return 1 + (COLD_START_SLOWDOWN - 1) * remaining

    # Downstream calls

    async def _call_downstream_services(
        self,
        route: RouteDescription,
        request: Request,
        record: RunRecord,
        response_body: ResponseBody,
    ) -> None:
        selected = [
            (index, call)
            for index, call in enumerate(route.calls)
            if is_call_selected(record.test_id, index, call.share)
        ]
        if not selected or self.node_client is None:
            return
        record.deeper = response_body.deeper
        if route.parallel:
            async with anyio.create_task_group() as group:
                for index, call in selected:
                    group.start_soon(
                        self._call_downstream,
                        index,
                        call,
                        request,
                        record,
                        response_body,
                    )
            return
        for index, call in selected:
            status = await self._call_downstream(
                index, call, request, record, response_body
            )
            if not 200 <= status < 300:
                return

    async def _call_downstream(
        self,
        index: int,
        call: DownstreamCall,
        request: Request,
        record: RunRecord,
        response_body: ResponseBody,
    ) -> int:
        assert self.node_client is not None
        result = DownstreamResult(f"{record.test_id}/{index}", record.run_id)
        response_body.deeper.append(result)
        headers = [
            (
                b"heathermount-context",
                request.get_header("heathermount-context").encode(),
            ),
            (b"x-test-id", result.test_id.encode()),
            (b"x-test-attempt", result.attempt.encode()),
        ]
        body = b"" if call.method == "GET" else encode_downstream_body(result.test_id)
        try:
            http_response = await self.node_client.request(
                call.method, call.path, headers, body
            )
        except RequestNotSent:
            result.outcome, result.reason = "not-run", "node-unreachable"
            return 0
        except RequestBroken:
            result.outcome, result.reason = "unknown", "connection-broken"
            return 0
        record_downstream_response(result, http_response, response_body)
        return result.status

    # Records and load samples

    def _open_record(self, request: Request) -> RunRecord:
        """Add a record for a request that arrived."""
        now = self._clock.monotonic()
        self.request_count += 1
        record = RunRecord(
            run_id=f"{self.description.name}:{self.incarnation}:{self.request_count}",
            server=self.description.name,
            service=self.description.service,
            root=request.get_header("heathermount-request"),
            organisation=request.get_header("heathermount-organisation"),
            method=request.method,
            path=request.path,
            test_id=request.get_header("x-test-id"),
            attempt=request.get_header("x-test-attempt"),
            idempotency_key=request.get_header("idempotency-key"),
            body_digest=hashlib.blake2b(request.body, digest_size=8).hexdigest(),
            arrived=now,
            started=now,
            key_visible=request.key_visible,
        )
        self.records.append(record)
        return record

    def _close_record(self, record: RunRecord, outcome: RunOutcome) -> None:
        record.outcome = outcome
        record.finished = self._clock.monotonic()
        self._write_record(record)

    def _write_record(self, record: RunRecord) -> None:
        if self._record_file is not None:
            write_record(self._record_file, record)

    def _change_counts(
        self, slot_semaphore: anyio.Semaphore, running: int = 0, waiting: int = 0
    ) -> None:
        # Requests of an earlier incarnation no longer count.
        if slot_semaphore is not self._slot_semaphore:
            return
        self.running_count += running
        self.waiting_count += waiting
        self._record_load()
        if not self.running_count and not self.waiting_count:
            self._idle_event.set()
            self._idle_event = anyio.Event()

    async def wait_idle(self) -> None:
        """Wait until no request is running or queued."""
        while self.running_count or self.waiting_count:
            await self._idle_event.wait()

    def _record_load(self) -> None:
        now = self._clock.monotonic()
        healthy = self.behaviour.healthy and not self.draining
        self._load_samples.append(
            LoadSample(now, self.running_count, self.waiting_count, healthy)
        )
        self._drop_old_load_samples(now)

    def _drop_old_load_samples(self, now: float) -> None:
        oldest_needed = now - self.description.load_lag_s
        while (
            len(self._load_samples) > 1 and self._load_samples[1].time <= oldest_needed
        ):
            self._load_samples.popleft()

    # Control endpoints

    def report_load(self, request: Request) -> Response:
        """Return the load as it was `load_lag_s` seconds ago."""
        self._drop_old_load_samples(self._clock.monotonic())
        sample = self._load_samples[0]
        factor = self.behaviour.load_factor
        load = {
            "running": round(sample.running * factor),
            "queued": round(sample.queued * factor),
            "slots": self.description.slots,
        }
        return Response(200, msgspec.json.encode(load))

    def report_health(self, request: Request) -> Response:
        """Return the health as it was `load_lag_s` seconds ago."""
        self._drop_old_load_samples(self._clock.monotonic())
        healthy = self._load_samples[0].healthy
        return Response(
            200 if healthy else 503, msgspec.json.encode({"healthy": healthy})
        )

    def report_records(self, request: Request) -> Response:
        """Return all records as a JSON array."""
        return Response(200, msgspec.json.encode(self.records))

    def clear_records(self, request: Request) -> Response:
        """Delete all records."""
        self.records = []
        return Response(204, b"")

    def change_behaviour(self, request: Request) -> Response:
        """Set some fields of the behaviour; `crash` and `drain` take effect at once."""
        try:
            changes = msgspec.json.decode(request.body, type=dict[str, Any])
            crash = bool(changes.pop("crash", False))
            draining = bool(changes.pop("drain", self.draining))
            merged = msgspec.structs.asdict(self.behaviour) | changes
            self.behaviour = msgspec.convert(merged, Behaviour, strict=True)
        except msgspec.MsgspecError as error:
            return Response(400, msgspec.json.encode({"error": str(error)}))
        self.draining = draining
        self._record_load()
        if crash:
            self.crash()
        return Response(200, msgspec.json.encode(self.behaviour))


ControlHandler = Callable[[BackendServer, Request], Response]

CONTROL_HANDLERS: Final[dict[tuple[str, str], ControlHandler]] = {
    ("GET", LOAD_PATH): BackendServer.report_load,
    ("GET", HEALTH_PATH): BackendServer.report_health,
    ("GET", "/record"): BackendServer.report_records,
    ("DELETE", "/record"): BackendServer.clear_records,
    ("POST", "/behaviour"): BackendServer.change_behaviour,
}
