"""One backend server stand-in: an ASGI application that works, calls deeper services,
sheds, drains, crashes on request and records everything that reached it.
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
from heathermount.standins.connections import Connections, RequestBroken, RequestNotSent
from heathermount.standins.deeper import is_chosen, make_deeper_body, take_deeper_answer
from heathermount.standins.exchange import (
    Receive,
    Reply,
    Request,
    Scope,
    Send,
    make_shed_reply,
    read_body,
    read_request,
    send_reply,
    watch_disconnect,
)
from heathermount.standins.records import (
    DeeperResult,
    RunOutcome,
    RunRecord,
    ServerAnswer,
    encode_answer,
    write_record,
)

__all__ = ["HEALTH_PATH", "LOAD_PATH", "BackendServer"]

HEALTH_PATH: Final = "/standin/health"
LOAD_PATH: Final = "/standin/load"

# A server works this many times slower right after its start.
COLD_FACTOR: Final = 4.0


class LoadSample(msgspec.Struct, frozen=True):
    """State of the server at one time."""

    time: float
    running: int
    queued: int
    healthy: bool


class BackendServer:
    """State of one backend server between two crashes, and its records."""

    __slots__ = (
        "_clock",
        "_file",
        "_idle",
        "_random",
        "_samples",
        "_slots",
        "_started",
        "_vacancies",
        "behaviour",
        "description",
        "down",
        "draining",
        "incarnation",
        "local",
        "on_crash",
        "records",
        "running",
        "runs",
        "waiting",
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
        self.local = Connections(description.node) if description.node else None
        self.records: list[RunRecord] = []
        self.on_crash: Callable[[], None] | None = None
        self.draining = False
        self.runs = 0
        self._clock = clock
        self._random = random
        self._file = record_file
        self.start()

    def start(self) -> None:
        """Begin a new incarnation: cold and idle."""
        self.down = False
        self.draining = False
        self.running = 0
        self.waiting = 0
        self._idle = anyio.Event()
        self._slots = anyio.Semaphore(self.description.slots)
        self._started = self._clock.monotonic()
        self.incarnation = f"{int(self._started * 1000):x}"
        self._samples: deque[LoadSample] = deque()
        self._sample()

    def crash(self) -> None:
        """Lose everything that runs; the listener's owner breaks the connections."""
        self.down = True
        if self.on_crash is not None:
            self.on_crash()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request (ASGI)."""
        body = await read_body(receive)
        if body is None:
            return
        request = read_request(scope, body)
        control = CONTROLS.get((request.method, request.path))
        if control is not None:
            await send_reply(send, control(self, request))
            return
        await self._serve(request, receive, send)

    async def _serve(self, request: Request, receive: Receive, send: Send) -> None:
        record = self._open_record(request)
        if self._is_full():
            self._close_record(record, RunOutcome.SHED)
            await send_reply(send, make_shed_reply())
            return
        reply: Reply | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(watch_disconnect, receive, group.cancel_scope)
            reply = await self._take_slot_and_work(request, record)
            group.cancel_scope.cancel()
        if reply is not None and not self.down:
            await send_reply(send, reply)

    def _is_full(self) -> bool:
        if self.behaviour.shed_all:
            return True
        return (
            self.running + self.waiting
            >= self.description.slots + self.description.backlog
        )

    async def _take_slot_and_work(
        self, request: Request, record: RunRecord
    ) -> Reply | None:
        slots = self._slots
        self.waiting += 1
        self._sample()
        try:
            with anyio.move_on_after(request.deadline_s) as waiting:
                await slots.acquire()
        except BaseException:
            self._close_record(record, RunOutcome.SHED)
            raise
        finally:
            self._count(slots, waiting=-1)
        if waiting.cancelled_caught:
            self._close_record(record, RunOutcome.SHED)
            return make_shed_reply()
        self._count(slots, running=1)
        record.started = self._clock.monotonic()
        self._note(record)
        outcome = RunOutcome.CANCELLED
        try:
            outcome, reply = await self._work(request, record)
            return reply
        finally:
            slots.release()
            self._count(slots, running=-1)
            if self.down and outcome is not RunOutcome.CRASHED:
                outcome = RunOutcome.LOST
            self._close_record(record, outcome)

    async def _work(
        self, request: Request, record: RunRecord
    ) -> tuple[RunOutcome, Reply | None]:
        route = self._find_route(request.path)
        answer = self._make_answer(request)
        waited_s = record.started - record.arrived
        remaining_s = request.deadline_s and request.deadline_s - waited_s
        with anyio.move_on_after(remaining_s) as scope:
            await anyio.sleep(self._service_time_s(route))
            if request.crashes:
                self.crash()
                return RunOutcome.CRASHED, None
            await self._call_deeper(route, request, record, answer)
        if scope.cancelled_caught:
            return self._finish(RunOutcome.DEADLINE, 504, answer)
        if any(not 200 <= result.status < 300 for result in record.deeper):
            return self._finish(RunOutcome.DEEPER_FAILED, 502, answer)
        if self._random.random() < self.behaviour.failing_share:
            return self._finish(RunOutcome.FAILED, 500, answer)
        if self._random.random() < self.behaviour.truncate_share:
            return self._finish(RunOutcome.TRUNCATED, 200, answer)
        return self._finish(RunOutcome.ANSWERED, 200, answer)

    def _finish(
        self, outcome: RunOutcome, status: int, answer: ServerAnswer
    ) -> tuple[RunOutcome, Reply]:
        answer.outcome = outcome.value
        truncated = outcome is RunOutcome.TRUNCATED
        return outcome, Reply(status, encode_answer(answer), truncated=truncated)

    def _make_answer(self, request: Request) -> ServerAnswer:
        test_id = request.header("x-test-id")
        return ServerAnswer(
            test_id=test_id,
            organisation=request.header("heathermount-organisation"),
            server=self.description.name,
            service=self.description.service,
            root=request.header("heathermount-request"),
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

    def _service_time_s(self, route: RouteDescription) -> float:
        mean_s = route.mean_ms / 1000 * self.behaviour.slowdown * self._cold_factor()
        if route.distribution == "fixed":
            return mean_s
        return self._random.expovariate(1 / mean_s) if mean_s > 0 else 0.0

    def _cold_factor(self) -> float:
        if self.description.cold_start_s <= 0:
            return 1.0
        age_s = self._clock.monotonic() - self._started
        remaining = max(0.0, 1 - age_s / self.description.cold_start_s)
        return 1 + (COLD_FACTOR - 1) * remaining

    # Deeper calls

    async def _call_deeper(
        self,
        route: RouteDescription,
        request: Request,
        record: RunRecord,
        answer: ServerAnswer,
    ) -> None:
        chosen = [
            (index, call)
            for index, call in enumerate(route.calls)
            if is_chosen(record.test_id, index, call.share)
        ]
        if not chosen or self.local is None:
            return
        record.deeper = answer.deeper
        if route.parallel:
            async with anyio.create_task_group() as group:
                for index, call in chosen:
                    group.start_soon(
                        self._call_one, index, call, request, record, answer
                    )
            return
        for index, call in chosen:
            status = await self._call_one(index, call, request, record, answer)
            if not 200 <= status < 300:
                return

    async def _call_one(
        self,
        index: int,
        call: DownstreamCall,
        request: Request,
        record: RunRecord,
        answer: ServerAnswer,
    ) -> int:
        assert self.local is not None
        result = DeeperResult(f"{record.test_id}/{index}", record.run_id)
        answer.deeper.append(result)
        headers = [
            (b"heathermount-context", request.header("heathermount-context").encode()),
            (b"x-test-id", result.test_id.encode()),
            (b"x-test-attempt", result.attempt.encode()),
        ]
        body = b"" if call.method == "GET" else make_deeper_body(result.test_id)
        try:
            received = await self.local.request(call.method, call.path, headers, body)
        except RequestNotSent:
            result.outcome, result.reason = "not-run", "node-unreachable"
            return 0
        except RequestBroken:
            result.outcome, result.reason = "unknown", "connection-broken"
            return 0
        take_deeper_answer(result, received, answer)
        return result.status

    # Records and load

    def _open_record(self, request: Request) -> RunRecord:
        """Begin the record of a request that arrived."""
        now = self._clock.monotonic()
        self.runs += 1
        record = RunRecord(
            run_id=f"{self.description.name}:{self.incarnation}:{self.runs}",
            server=self.description.name,
            service=self.description.service,
            root=request.header("heathermount-request"),
            organisation=request.header("heathermount-organisation"),
            method=request.method,
            path=request.path,
            test_id=request.header("x-test-id"),
            attempt=request.header("x-test-attempt"),
            idempotency_key=request.header("idempotency-key"),
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
        self._note(record)

    def _note(self, record: RunRecord) -> None:
        if self._file is not None:
            write_record(self._file, record)

    def _count(
        self, slots: anyio.Semaphore, running: int = 0, waiting: int = 0
    ) -> None:
        # A request of an earlier incarnation no longer counts.
        if slots is not self._slots:
            return
        self.running += running
        self.waiting += waiting
        self._sample()
        if not self.running and not self.waiting:
            self._idle.set()
            self._idle = anyio.Event()

    async def wait_idle(self) -> None:
        """Return when no request runs or waits."""
        while self.running or self.waiting:
            await self._idle.wait()

    def _sample(self) -> None:
        now = self._clock.monotonic()
        healthy = self.behaviour.healthy and not self.draining
        self._samples.append(LoadSample(now, self.running, self.waiting, healthy))
        self._forget_samples(now)

    def _forget_samples(self, now: float) -> None:
        horizon = now - self.description.load_lag_s
        while len(self._samples) > 1 and self._samples[1].time <= horizon:
            self._samples.popleft()

    # Control endpoints

    def report_load(self, request: Request) -> Reply:
        """Answer the load path with the state of `load_lag_s` seconds ago."""
        self._forget_samples(self._clock.monotonic())
        sample = self._samples[0]
        factor = self.behaviour.load_factor
        load = {
            "running": round(sample.running * factor),
            "queued": round(sample.queued * factor),
            "slots": self.description.slots,
        }
        return Reply(200, msgspec.json.encode(load))

    def report_health(self, request: Request) -> Reply:
        """Answer the health path, as late as the load path."""
        self._forget_samples(self._clock.monotonic())
        healthy = self._samples[0].healthy
        return Reply(200 if healthy else 503, msgspec.json.encode({"healthy": healthy}))

    def report_record(self, request: Request) -> Reply:
        """Answer with all records, as a JSON list."""
        return Reply(200, msgspec.json.encode(self.records))

    def reset_record(self, request: Request) -> Reply:
        """Forget all records."""
        self.records = []
        return Reply(204, b"")

    def change_behaviour(self, request: Request) -> Reply:
        """Change some fields of the behaviour; `crash` and `drain` act at once."""
        try:
            changes = msgspec.json.decode(request.body, type=dict[str, Any])
            crash = bool(changes.pop("crash", False))
            draining = bool(changes.pop("drain", self.draining))
            merged = msgspec.structs.asdict(self.behaviour) | changes
            self.behaviour = msgspec.convert(merged, Behaviour, strict=True)
        except msgspec.MsgspecError as error:
            return Reply(400, msgspec.json.encode({"error": str(error)}))
        self.draining = draining
        self._sample()
        if crash:
            self.crash()
        return Reply(200, msgspec.json.encode(self.behaviour))


Control = Callable[[BackendServer, Request], Reply]

CONTROLS: Final[dict[tuple[str, str], Control]] = {
    ("GET", LOAD_PATH): BackendServer.report_load,
    ("GET", HEALTH_PATH): BackendServer.report_health,
    ("GET", "/record"): BackendServer.report_record,
    ("DELETE", "/record"): BackendServer.reset_record,
    ("POST", "/behaviour"): BackendServer.change_behaviour,
}
