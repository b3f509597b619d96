"""Open-loop load generator that calls the entry nodes of a fleet.

Run as `python -m heathermount.runner.caller --config=FILE --results=FILE`.
"""

import sys
from pathlib import Path
from random import Random
from typing import Any, Final

import anyio
import msgspec
import uvloop
from absl import flags
from anyio.abc import TaskGroup

from heathermount.clocks import Clock, SystemClock
from heathermount.config.validation import TableValidator, load_toml
from heathermount.runner.summaries import summarise
from heathermount.standins.commandline import make_flag_values, require_flag
from heathermount.standins.http_client import (
    ConnectionPool,
    HttpResponse,
    RequestBroken,
    RequestNotSent,
)
from heathermount.standins.records import CallResult, decode_response_body, write_lines

__all__ = [
    "Caller",
    "CallerSettings",
    "OrganisationLoad",
    "RetrySettings",
    "RouteShare",
    "Surge",
    "main",
    "make_uuid7",
    "run",
    "run_calls",
]

# A call that is due while this many are in progress is skipped and counted.
MAX_OUTSTANDING_CALLS: Final = 4000


class RouteShare(msgspec.Struct, kw_only=True):
    """One route in the call mix of an organisation."""

    path: str
    method: str = "GET"
    weight: float = 1.0
    body_bytes: int = 64
    # Idempotency key of a POST: "uuid7", "opaque" or "none".
    key_kind: str = "uuid7"


class Surge(msgspec.Struct, kw_only=True):
    """A time window, in seconds after the start, in which the rate is multiplied."""

    start_s: float
    end_s: float
    factor: float


class OrganisationLoad(msgspec.Struct, kw_only=True):
    """Load of one organisation; `rate` is in calls/s."""

    name: str
    key: str
    rate: float
    routes: list[RouteShare]
    surges: list[Surge] = []


class RetrySettings(msgspec.Struct, kw_only=True):
    """Retries by the caller, with the same idempotency key and test identifier."""

    limit: int = 0
    delay_s: float = 0.1
    # Any of: not-run, unknown, over-rate, failed, timeout, broken, refused.
    reasons: tuple[str, ...] = ("not-run", "timeout", "broken", "refused")


class CallerSettings(msgspec.Struct, kw_only=True):
    """Settings of a load run."""

    seed: int = 1
    duration_s: float = 10.0
    timeout_s: float = 5.0
    # Prefix of the test identifiers; unique among runs whose records are compared.
    run_name: str = "run"
    entries: list[str]
    organisations: list[OrganisationLoad]
    retries: RetrySettings = msgspec.field(default_factory=RetrySettings)


class Call(msgspec.Struct, kw_only=True):
    """A request to make; all attempts send the same identifiers and body."""

    test_id: str
    organisation: str
    key: str
    method: str
    path: str
    idempotency_key: str
    body: bytes
    scheduled: float


class Caller:
    """Sends calls on their schedule and records every attempt."""

    __slots__ = (
        "_clock",
        "_outstanding_calls",
        "_pools",
        "_random",
        "_settings",
        "results",
        "skipped",
    )

    def __init__(self, settings: CallerSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._random = Random(settings.seed)
        self._pools = {entry: ConnectionPool(entry) for entry in settings.entries}
        self._outstanding_calls = 0
        self.results: list[CallResult] = []
        self.skipped = 0

    async def run(self) -> list[CallResult]:
        """Make all calls; return the results after the last call ends."""
        start = self._clock.monotonic()
        try:
            async with anyio.create_task_group() as group:
                for load in self._settings.organisations:
                    group.start_soon(self._run_load, load, start, group)
        finally:
            self.close()
        return self.results

    def close(self) -> None:
        """Close the idle connections."""
        for pool in self._pools.values():
            pool.close()

    async def _run_load(
        self, load: OrganisationLoad, start: float, group: TaskGroup
    ) -> None:
        random = Random(f"{self._settings.seed}/{load.name}")
        for number, at_s in enumerate(
            schedule_calls(load, self._settings.duration_s, random)
        ):
            delay_s = start + at_s - self._clock.monotonic()
            if delay_s > 0:
                await anyio.sleep(delay_s)
            if self._outstanding_calls >= MAX_OUTSTANDING_CALLS:
                self.skipped += 1
                continue
            test_id = f"{self._settings.run_name}.{load.name}.{number}"
            call = make_call(test_id, load, start + at_s, self._clock.wall(), random)
            group.start_soon(self.call, call)

    async def call(self, call: Call) -> CallResult:
        """Make one call with its retries; return the last attempt's result."""
        self._outstanding_calls += 1
        try:
            return await self._call_with_retries(call)
        finally:
            self._outstanding_calls -= 1

    async def _call_with_retries(self, call: Call) -> CallResult:
        retries = self._settings.retries
        result = await self._send_attempt(call, 0)
        for number in range(1, retries.limit + 1):
            if classify_result(result) not in retries.reasons:
                return result
            await anyio.sleep(retries.delay_s)
            result = await self._send_attempt(call, number)
        return result

    async def _send_attempt(self, call: Call, number: int) -> CallResult:
        entry = self._random.choice(self._settings.entries)
        result = CallResult(
            test_id=call.test_id,
            attempt=str(number),
            organisation=call.organisation,
            key_id=extract_key_id(call.key),
            entry=entry,
            method=call.method,
            path=call.path,
            idempotency_key=call.idempotency_key,
            scheduled=call.scheduled,
            sent=self._clock.monotonic(),
        )
        self.results.append(result)
        headers = make_headers(call, result)
        try:
            with anyio.fail_after(self._settings.timeout_s):
                answer = await self._pools[entry].request(
                    call.method, call.path, headers, call.body
                )
            record_answer(result, answer)
        except TimeoutError:
            result.error = "timeout"
        except RequestNotSent:
            result.error = "refused"
        except RequestBroken:
            result.error = "broken"
        result.finished = self._clock.monotonic()
        return result


def schedule_calls(
    load: OrganisationLoad, duration_s: float, random: Random
) -> list[float]:
    """Return the times in seconds of a Poisson process with the load's surges.

    Thins a process at the peak rate to the rate at each time.
    """
    peak_rate = load.rate * max([1.0, *(surge.factor for surge in load.surges)])
    start_times_s: list[float] = []
    at_s = 0.0
    while peak_rate > 0:
        at_s += random.expovariate(peak_rate)
        if at_s >= duration_s:
            break
        if random.random() * peak_rate < compute_rate(load, at_s):
            start_times_s.append(at_s)
    return start_times_s


def compute_rate(load: OrganisationLoad, at_s: float) -> float:
    factors = [s.factor for s in load.surges if s.start_s <= at_s < s.end_s]
    return load.rate * max(factors, default=1.0)


def make_call(
    test_id: str,
    load: OrganisationLoad,
    scheduled: float,
    wall_time_s: float,
    random: Random,
) -> Call:
    """Choose a route by weight and return a call to it."""
    weights = [route.weight for route in load.routes]
    route = random.choices(load.routes, weights)[0]
    return Call(
        test_id=test_id,
        organisation=load.name,
        key=load.key,
        method=route.method,
        path=route.path,
        idempotency_key=make_idempotency_key(route, wall_time_s, random),
        body=make_body(route, test_id),
        scheduled=scheduled,
    )


def make_body(route: RouteShare, test_id: str) -> bytes:
    if route.method in ("GET", "HEAD", "DELETE"):
        return b""
    fields = {"test_id": test_id, "filling": "x" * route.body_bytes}
    return msgspec.json.encode(fields)


def make_idempotency_key(route: RouteShare, wall_time_s: float, random: Random) -> str:
    if route.method != "POST" or route.key_kind == "none":
        return ""
    if route.key_kind == "opaque":
        return f"opaque-{random.getrandbits(96):024x}"
    return make_uuid7(wall_time_s, random)


def make_uuid7(wall_time_s: float, random: Random) -> str:
    """Return a UUIDv7 (RFC 9562) for a wall clock time in seconds."""
    value = int(wall_time_s * 1000) << 80
    value |= 0x7 << 76 | random.getrandbits(12) << 64
    value |= 0b10 << 62 | random.getrandbits(62)
    text = f"{value:032x}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


def make_headers(call: Call, result: CallResult) -> list[tuple[bytes, bytes]]:
    headers = [
        (b"x-test-id", result.test_id.encode()),
        (b"x-test-attempt", result.attempt.encode()),
    ]
    if call.key:
        headers.append((b"authorization", b"Bearer " + call.key.encode()))
    if call.idempotency_key:
        headers.append((b"idempotency-key", call.idempotency_key.encode()))
    return headers


def extract_key_id(key: str) -> str:
    """Return the identifier of a key, the part that is not secret."""
    parts = key.split("_", 2)
    return parts[1] if len(parts) == 3 else ""


def record_answer(result: CallResult, answer: HttpResponse) -> None:
    """Record an answer; check that it is complete and belongs to the request."""
    result.status = answer.status
    result.outcome = answer.text_header(b"heathermount-outcome")
    result.reason = answer.text_header(b"heathermount-reason")
    retry_after = answer.text_header(b"retry-after")
    if retry_after:
        result.retry_after_s = float(retry_after)
    if not result.succeeded:
        return
    content = decode_response_body(answer.body)
    result.whole = content is not None
    if content is None:
        return
    result.server = content.server
    result.own = (
        content.test_id == result.test_id
        and content.organisation == result.organisation
        and content.path == result.path
    )


def classify_result(result: CallResult) -> str:
    """Return the word for a result in RetrySettings.reasons, or "succeeded"."""
    if result.error:
        return result.error
    if result.succeeded:
        return "succeeded"
    if result.status == 429:
        return "over-rate"
    return result.outcome if result.reason else "failed"


async def run_calls(settings: CallerSettings, clock: Clock) -> list[CallResult]:
    """Make all calls of the settings and return every attempt's result."""
    return await Caller(settings, clock).run()


def read_settings(path: str) -> CallerSettings:
    """Read a settings file; raise an exception group of all problems."""
    validator = TableValidator(path)
    settings = validator.convert(load_toml(path), CallerSettings, "")
    validator.raise_problems()
    assert settings is not None
    return settings


def main(argv: list[str]) -> None:
    """Read the flags, run, write the results and print a summary as JSON."""
    values: Any = make_flag_values()
    flags.DEFINE_string("config", None, "Settings file (TOML).", flag_values=values)
    flags.DEFINE_string(
        "results", "", "File for the results, as JSON lines.", flag_values=values
    )
    require_flag("config", values)
    values(argv)
    settings = read_settings(values.config)
    results = uvloop.run(run_calls(settings, SystemClock()))
    if values.results:
        write_lines(Path(values.results), results)
    print(msgspec.json.encode(summarise(results, settings.duration_s)).decode())


def run() -> None:
    """Entry point of the command."""
    main(sys.argv)


if __name__ == "__main__":
    run()
