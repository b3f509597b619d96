"""Gateway soak: sends requests under random faults, then runs all checks.

Run as `python -m heathermount.soak.gateway --seed=N --seconds=N`. Node processes,
stand-ins for the platform and clients run on this machine; faults are injected
from outside the node processes. Prints one JSON line and exits with 1 on any
violation.
"""

import asyncio
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import Final

import msgspec
import uvloop
from absl import flags

from heathermount.config.durations import parse_duration
from heathermount.gateway.configuration_document import (
    GatewayDocument,
    OrganisationEntry,
    RouteEntry,
    RouteTarget,
    ServiceEntry,
)
from heathermount.gateway.http_server import HttpLimits
from heathermount.gateway.node_records import NodeRecord
from heathermount.gateway.registration import NODE_KEY_PREFIX
from heathermount.soak.checks import Violation, pick_first
from heathermount.soak.gateway_checks import ClientResult, check_gateway_run
from heathermount.soak.gateway_faults import GATEWAY_FAULTS, GatewaySoakState
from heathermount.soak.instances import PROPAGATION_BOUND, Instance
from heathermount.soak.proxy import NetworkFault
from heathermount.standins.commandline import end_on_termination, make_flag_values
from heathermount.standins.platform_client import (
    HOST,
    is_complete_response,
    send_request,
)
from heathermount.standins.platform_store import PlatformStoreStandIn

__all__ = ["GatewaySoakReport", "GatewaySoakSettings", "run_gateway_soak"]

SERVICES: Final = ("pantry", "orders")

# Pause between the starts of two faults, which may overlap.
MIN_FAULT_PAUSE_S: Final = 0.1
MAX_FAULT_PAUSE_S: Final = 2.0

# Timeout of the routes. A request through an undisturbed node must end within the
# timeout plus a margin, which allows for a busy machine.
ROUTE_TIMEOUT_S: Final = 2.0
RESPONSE_MARGIN_S: Final = 1.5
CLIENT_TIMEOUT_S: Final = 6.0

# Time after its acknowledgement from which no node may call a new key unknown. A node
# that may lack the change has to say that the request has not run.
KEY_PROPAGATION_S: Final = parse_duration(PROPAGATION_BOUND)

# Mean pause of a client between two requests.
CLIENT_PAUSE_S: Final = 0.05
CLIENTS_PER_NODE: Final = 2

# Longest time until the fleet serves requests after its start or after the last
# fault, the duration of the requests after that, and the share of them that must
# succeed.
RECOVERY_TIMEOUT_S: Final = 15.0
CALM_LOAD_S: Final = 3.0
MIN_RECOVERED_SHARE: Final = 0.9

RECORD_DECODER: Final = msgspec.msgpack.Decoder(NodeRecord)


class GatewaySoakSettings(msgspec.Struct, kw_only=True):
    """Settings of a run."""

    seed: int = 1
    seconds: float = 30.0
    nodes: int = 6
    # Directory for the nodes' logs and the clients' results; empty: discarded.
    output: str = ""


class GatewaySoakReport(msgspec.Struct, kw_only=True):
    """Result of a run, with the first violations of each check."""

    seed: int
    seconds: float
    nodes: int
    faults: dict[str, int]
    requests: int
    statuses: dict[str, int]
    runs: int
    recovered_share: float
    violation_counts: dict[str, int]
    violations: list[Violation]


class GatewaySoak:
    """A fleet of node processes with its store, backend servers and clients."""

    def __init__(self, settings: GatewaySoakSettings, directory: Path) -> None:
        self.settings = settings
        self.random = Random(settings.seed)
        self.store = PlatformStoreStandIn()
        self.store.rewrite_value = self._replace_address_with_proxy
        self.directory = directory
        self.instances: list[Instance] = []
        self.state: GatewaySoakState
        self.results: list[ClientResult] = []
        self.faults: Counter[str] = Counter()
        self._clients_stopping = False

    def _replace_address_with_proxy(self, key: str, value: bytes) -> bytes:
        """Replace the address in a node's registry entry with that of its proxy."""
        if not key.startswith(NODE_KEY_PREFIX):
            return value
        record = RECORD_DECODER.decode(value)
        for instance in self.instances:
            if instance.name == record.node:
                address = instance.node_proxy.address
                record = msgspec.structs.replace(record, address=address)
        return msgspec.msgpack.encode(record)

    async def run(self) -> GatewaySoakReport:
        await self.store.start()
        try:
            await self._start_fleet()
            recovered_share = await self._serve_under_faults()
        finally:
            for instance in self.instances:
                await instance.close()
            await self.store.stop()
        return self._make_report(recovered_share)

    async def _start_fleet(self) -> None:
        for number in range(self.settings.nodes):
            service = SERVICES[number % len(SERVICES)]
            self.instances.append(
                Instance(
                    f"n-{number}", service, self.store, self.directory, self.random
                )
            )
        document = make_document()
        self.state = GatewaySoakState(self.store, self.instances, document)
        for organisation in document.organisations:
            self.state.valid_keys[organisation.keys[0]] = (
                time.monotonic() - KEY_PROPAGATION_S
            )
        for instance in self.instances:
            await instance.start(first_start=True)
        await self._wait_until_serving(RECOVERY_TIMEOUT_S)

    async def _serve_under_faults(self) -> float:
        """Return the share of requests that succeed after all faults have ended."""
        async with asyncio.TaskGroup() as clients:
            for instance in self.instances:
                for number in range(CLIENTS_PER_NODE):
                    clients.create_task(self._run_client(instance, number))
            await self._inject_faults()
            await self._end_faults()
            self._clients_stopping = True
        await self._wait_until_serving(RECOVERY_TIMEOUT_S)
        before = len(self.results)
        ends_at = time.monotonic() + CALM_LOAD_S
        while time.monotonic() < ends_at:
            for number, instance in enumerate(self.instances):
                request_id = f"calm-{len(self.results)}-{number}"
                await self._send(instance, request_id, self._pick_valid_key())
        calm = self.results[before:]
        return sum(result.status == 200 for result in calm) / max(1, len(calm))

    async def _inject_faults(self) -> None:
        names = list(GATEWAY_FAULTS)
        random = Random(f"faults-{self.settings.seed}")
        ends_at = time.monotonic() + self.settings.seconds
        async with asyncio.TaskGroup() as faults:
            while time.monotonic() < ends_at:
                await asyncio.sleep(
                    random.uniform(MIN_FAULT_PAUSE_S, MAX_FAULT_PAUSE_S)
                )
                name = random.choice(names)
                self.faults[name] += 1
                own_random = Random(random.random())
                faults.create_task(run_fault(name, self.state, own_random))
                for instance in self.instances:
                    instance.check_unexpected_exit()

    async def _end_faults(self) -> None:
        """Undo what overlapping faults have left, and restart what is down."""
        for instance in self.instances:
            instance.resume()
            instance.node_proxy.set_fault(NetworkFault.NONE)
            instance.store_proxy.set_fault(NetworkFault.NONE)
            if instance.server is None:
                await instance.start_server()
            else:
                instance.server.faults = []
            if not instance.running:
                instance.start_node()

    async def _wait_until_serving(self, timeout_s: float) -> None:
        """Wait until a request through each node succeeds, for at most `timeout_s`."""
        ends_at = time.monotonic() + timeout_s
        waiting = list(self.instances)
        while waiting and time.monotonic() < ends_at:
            number = len(self.results)
            request_id, key = f"probe-{number}", self._pick_valid_key()
            result = await self._send(waiting[0], request_id, key)
            if result.status == 200:
                waiting.pop(0)
            await asyncio.sleep(CLIENT_PAUSE_S)

    async def _run_client(self, instance: Instance, number: int) -> None:
        sent = 0
        while not self._clients_stopping:
            sent += 1
            request_id = f"c-{instance.name}-{number}-{sent}"
            await self._send(instance, request_id, self._pick_any_key())
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * CLIENT_PAUSE_S)

    async def _send(
        self, instance: Instance, request_id: str, key: str
    ) -> ClientResult:
        idempotent = self.random.random() < 0.5
        prefix, method = ("/stock/", "GET") if idempotent else ("/order/", "POST")
        sent_at = time.monotonic()
        entitled = (
            sent_at - self.state.valid_keys.get(key, sent_at) >= KEY_PROPAGATION_S
        )
        result = ClientResult(
            request_id=request_id,
            key=key,
            idempotent=idempotent,
            node=instance.name,
            sent_at=sent_at,
            ended_at=sent_at,
        )
        target = prefix + request_id
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                status, headers, body = await send_request(
                    instance.outbound_address,
                    method,
                    target,
                    request_id=request_id,
                    key=key,
                )
        except (OSError, EOFError, TimeoutError):
            # The node was down or paused; the outcome of the request is unknown.
            status = None
        else:
            result.status = status
            result.whole = status != 200 or is_complete_response(
                headers, body, request_id, target
            )
        result.ended_at = time.monotonic()
        # A key that was withdrawn meanwhile may be refused.
        result.entitled = entitled and key in self.state.valid_keys
        result.undisturbed = (
            instance.running
            and not instance.paused
            and instance.last_disturbed_at < sent_at
        )
        self.results.append(result)
        return result

    def _pick_valid_key(self) -> str:
        return self.random.choice(list(self.state.valid_keys))

    def _pick_any_key(self) -> str:
        """Return a valid or a withdrawn key."""
        keys = list(self.state.valid_keys) + list(self.state.withdrawn_keys)
        return self.random.choice(keys)

    def _make_report(self, recovered_share: float) -> GatewaySoakReport:
        runs = [run for instance in self.instances for run in instance.runs]
        violations = check_gateway_run(
            self.results,
            runs,
            self.state.withdrawn_keys,
            [
                drain
                for instance in self.instances
                for drain in instance.acknowledged_drains
            ],
            [limit for instance in self.instances for limit in instance.stated_limits],
            ROUTE_TIMEOUT_S + RESPONSE_MARGIN_S,
        )
        for instance in self.instances:
            violations += [
                Violation("process", instance.name, problem)
                for problem in instance.problems
            ]
        if recovered_share < MIN_RECOVERED_SHARE:
            detail = f"{recovered_share:.3f} of the requests after the faults succeeded"
            violations.append(Violation("not-recovered", "fleet", detail))
        if self.settings.output:
            data = b"\n".join(msgspec.json.encode(result) for result in self.results)
            (self.directory / "results.jsonl").write_bytes(data + b"\n")
        return GatewaySoakReport(
            seed=self.settings.seed,
            seconds=self.settings.seconds,
            nodes=self.settings.nodes,
            faults=dict(sorted(self.faults.items())),
            requests=len(self.results),
            statuses=dict(
                sorted(Counter(str(result.status) for result in self.results).items())
            ),
            runs=len(runs),
            recovered_share=round(recovered_share, 4),
            violation_counts=Counter(violation.check for violation in violations),
            violations=pick_first(violations),
        )


async def run_fault(name: str, state: GatewaySoakState, random: Random) -> None:
    await GATEWAY_FAULTS[name](state, random)


def make_document() -> GatewayDocument:
    """Return the initial configuration with two routes and four organisations."""
    routes = [
        RouteEntry(
            name,
            HOST,
            f"/{name}/",
            [RouteTarget(service)],
            idempotent=idempotent,
            timeout_s=ROUTE_TIMEOUT_S,
            objective_s=1.0,
            priority=1,
            max_attempts=2,
            public=False,
        )
        for name, service, idempotent in (
            ("stock", "pantry", True),
            ("order", "orders", False),
        )
    ]
    return GatewayDocument(
        1,
        routes,
        [ServiceEntry(service, "/health", 100) for service in SERVICES],
        [OrganisationEntry(f"o-{i}", [f"key-o-{i}"]) for i in range(4)],
        HttpLimits(),
    )


def run_gateway_soak(settings: GatewaySoakSettings) -> GatewaySoakReport:
    """Run the soak and return its report."""
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(settings.output or temporary)
        directory.mkdir(parents=True, exist_ok=True)
        return uvloop.run(GatewaySoak(settings, directory).run())


def main(arguments: list[str]) -> int:
    """Run the soak and print its report; return the exit code."""
    values = make_flag_values()
    defaults = GatewaySoakSettings()
    flags.DEFINE_integer("seed", defaults.seed, "Random seed.", flag_values=values)
    flags.DEFINE_float(
        "seconds",
        defaults.seconds,
        "Duration of the faults, in seconds.",
        flag_values=values,
    )
    flags.DEFINE_integer(
        "nodes", defaults.nodes, "Number of node processes.", flag_values=values
    )
    flags.DEFINE_string(
        "output", "", "Directory for logs and results.", flag_values=values
    )
    values(arguments)
    end_on_termination()
    settings = GatewaySoakSettings(
        seed=values.seed,
        seconds=values.seconds,
        nodes=values.nodes,
        output=values.output,
    )
    report = run_gateway_soak(settings)
    print(msgspec.json.encode(report).decode())
    return 1 if report.violations else 0


def run() -> None:
    """Entry point of the command."""
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()
