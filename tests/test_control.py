"""Tests of the operators' tool: changes, waiting, output and exit codes."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import pytest
from absl import flags

from builders_wire import SECRET, run_control_server
from heathermount.cli import actions
from heathermount.cli.actions import FleetAccess
from heathermount.cli.control import (
    ExitCode,
    define_flags,
    execute,
    find_exit_code,
    parse_flags,
)
from heathermount.cli.output import Printer
from heathermount.clocks import SystemClock
from heathermount.config.documents import decode_change
from heathermount.errors import (
    ConfigurationProblem,
    ConflictingChange,
    PeerRefused,
    PeerRejected,
    PeerTimeout,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from heathermount.events import Event
from heathermount.membership import MemberRecord, RosterRecord
from heathermount.standins.store import FakeStore, StoreState
from heathermount.wire.control import (
    ControlServer,
    DrainReply,
    DrainRequest,
    PushReply,
    PushRequest,
    StatusReply,
    StatusRequest,
    TimelineReply,
    TimelineRequest,
)

pytestmark = pytest.mark.anyio

DECLARATION = """
version = 1
failure_domains = ["a", "b", "c"]
[[routes]]
name = "stock"
service = "pantry"
path = "/pantry/stock"
[[organisations]]
name = "cart-1"
"""


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture
def declaration(tmp_path: Path) -> str:
    path = tmp_path / "fleet.toml"
    path.write_text(DECLARATION)
    return str(path)


class FakeNode:
    """Control service of a node that gets changes by push only."""

    def __init__(self, name: str, accepts_changes: bool = True) -> None:
        self.name = name
        self.accepts_changes = accepts_changes
        self.revision = 0
        self.change_id = ""
        self.pushes = 0
        self.draining = False

    def __getattr__(self, name: str) -> Any:
        if name.startswith("__"):
            raise AttributeError(name)
        return None

    async def push(self, request: PushRequest) -> PushReply:
        self.pushes += 1
        change = decode_change(request.change)
        if self.accepts_changes:
            self.revision, self.change_id = change.revision, change.change_id
        return PushReply(self.revision)

    async def status(self, request: StatusRequest) -> StatusReply:
        state = (self.revision, self.change_id, 0.5, True, self.draining)
        return StatusReply(self.name, "1", "pantry", "a", *state, [], [], {})

    async def drain(self, request: DrainRequest) -> DrainReply:
        self.draining = request.draining
        return DrainReply(3)

    async def timeline(self, request: TimelineRequest) -> TimelineReply:
        position = int(self.name[-1])
        return TimelineReply([Event(10 - position, 0, self.name, "start", {})])


def make_member(node: str, control: str) -> MemberRecord:
    return MemberRecord(
        node=node,
        incarnation="1",
        peers="127.0.0.1:1",
        control=control,
        failure_domain="a",
    )


@asynccontextmanager
async def run_fleet(
    *nodes: FakeNode, stopped_count: int = 0
) -> AsyncIterator[FleetAccess]:
    """Run nodes on loopback; list `stopped_count` more that do not run."""
    store = FakeStore(StoreState(SystemClock()))
    members: list[MemberRecord] = []
    servers: list[ControlServer] = []
    for node in nodes:
        service: Any = node
        server = ControlServer(service, SECRET, SystemClock())
        address = await server.start("127.0.0.1", 0)
        servers.append(server)
        members.append(make_member(node.name, address))
    for position in range(stopped_count):
        async with run_control_server(
            ControlServer(service, SECRET, SystemClock())
        ) as stopped_address:
            pass
        members.append(make_member(f"gone-{position}", stopped_address))
    roster = RosterRecord(service="pantry", revision=1, members=members)
    await store.commit({}, {"roster/pantry": msgspec.msgpack.encode(roster)})
    try:
        yield FleetAccess(store, SECRET, timeout_s=0.3)
    finally:
        for server in servers:
            await server.close()


async def test_apply_pushes_to_three_nodes_and_waits_for_all(declaration: str) -> None:
    """Guards against an accepted change that nodes get only when they poll the store.

    Of five nodes, one is stopped and one takes no change; both stay unconfirmed.
    """
    nodes = [FakeNode(f"pantry-{i}") for i in range(3)]
    unchanged_node = FakeNode("pantry-9", accepts_changes=False)
    async with run_fleet(*nodes, unchanged_node, stopped_count=1) as access:
        rollout = await actions.roll_out_declaration(
            access, declaration, "anna", "first"
        )
        again = await actions.roll_out_declaration(access, declaration, "anna", "again")
    pushed = [node.pushes for node in [*nodes, unchanged_node]]
    assert (rollout.revision, rollout.changed, rollout.nodes) == (1, True, 5)
    assert sum(pushed) == 3
    assert [s.node.name for s in rollout.unconfirmed] == ["gone-0", "pantry-9"]
    assert not again.changed


async def test_push_replaces_an_unreachable_node(declaration: str) -> None:
    """Guards against a withdrawal that is pushed to fewer nodes after a crash.

    Three nodes get each push; unreachable ones are replaced by others.
    """
    nodes = [FakeNode(f"pantry-{i}") for i in range(4)]
    async with run_fleet(*nodes, stopped_count=2) as access:
        await actions.roll_out_declaration(access, declaration, "anna", "first")
    assert sum(node.pushes for node in nodes) == 3


async def test_key_lifecycle(declaration: str) -> None:
    """Guards against a withdrawn key that is still listed as usable."""
    node = FakeNode("pantry-1")
    async with run_fleet(node) as access:
        await actions.roll_out_declaration(access, declaration, "anna", "first")
        added = await actions.roll_out_new_key(access, "cart-1", "anna")
        (row,) = await actions.list_keys(access)
        assert added.key.startswith(f"hm_{row.key_id}_")
        assert not row.withdrawn
        withdrawn = await actions.roll_out_key_withdrawal(access, row.key_id, "anna")
        assert not withdrawn.unconfirmed
        assert (await actions.list_keys(access))[0].withdrawn
        with pytest.raises(ConfigurationProblem):
            await actions.roll_out_key_withdrawal(access, "unknown", "anna")


async def test_conflicting_apply_names_the_other_change(declaration: str) -> None:
    """Guards against an operator who overwrites a change made meanwhile."""
    async with run_fleet(FakeNode("pantry-1")) as access:
        await actions.roll_out_declaration(access, declaration, "anna", "first")
        with pytest.raises(ConflictingChange) as caught:
            await actions.roll_out_declaration(
                access, declaration, "ben", "late", base_revision=0
            )
    assert caught.value.author == "anna"


async def test_drain_timeline_and_diff(declaration: str, capsys: Any) -> None:
    """Guards against events out of order and a drain of the wrong node."""
    nodes = [FakeNode("pantry-1"), FakeNode("pantry-2")]
    async with run_fleet(*nodes, stopped_count=1) as access:
        reply = await actions.set_draining(access, "pantry-2", True)
        assert (reply.running, nodes[0].draining, nodes[1].draining) == (3, False, True)
        with pytest.raises(ConfigurationProblem):
            await actions.set_draining(access, "pantry-7", True)
        with pytest.raises(PeerRefused):
            await actions.set_draining(access, "gone-0", True)
        events, failed = await actions.collect_timeline(access, 0)
        assert [event.node for event in events] == ["pantry-2", "pantry-1"]
        assert [state.node.name for state in failed] == ["gone-0"]
        printer = Printer(as_json=True)
        printer.print_diff(await actions.diff_declaration(access, declaration))
        printer.print_node_states(
            await actions.read_states(access, await actions.find_nodes(access))
        )
    preview, states = map(msgspec.json.decode, capsys.readouterr().out.splitlines())
    assert "organisations/cart-1" in preview["sets"]
    assert [state["status"] and state["status"]["draining"] for state in states] == [
        None,
        False,
        True,
    ]


EXIT_CODE_CASES = [
    (ConflictingChange(3, "c", "ben"), ExitCode.NOT_ACCEPTED),
    (PeerRejected("UNAUTHENTICATED", ""), ExitCode.NOT_ACCEPTED),
    (PeerRefused(), ExitCode.NOT_ACCEPTED),
    (PeerTimeout(), ExitCode.NO_ANSWER),
    (StoreUnavailable(), ExitCode.NO_ANSWER),
    (StoreOutcomeUnknown(), ExitCode.NO_ANSWER),
    (
        ExceptionGroup("", [ConfigurationProblem("f", "k", "p", "r")]),
        ExitCode.BAD_INPUT,
    ),
    (KeyError(), None),
]


@pytest.mark.parametrize(("error", "code"), EXIT_CODE_CASES)
def test_exit_code_of_errors(error: Exception, code: ExitCode | None) -> None:
    """Guards against a script that treats a lost change as accepted."""
    assert find_exit_code(error) == code


COMMAND_LINE_CASES = [
    ("check {good}", ExitCode.OK),
    ("check {bad}", ExitCode.BAD_INPUT),
    ("check {missing}", ExitCode.BAD_INPUT),
    ("check", ExitCode.BAD_INPUT),
    ("diff {good}", ExitCode.NO_ANSWER),
    ("diff {bad}", ExitCode.BAD_INPUT),
    ("status", ExitCode.BAD_INPUT),
    ("status --fleet_secret_file={secret}", ExitCode.NO_ANSWER),
    ("--fleet_secret_file={secret} drain pantry-1", ExitCode.NO_ANSWER),
    ("apply {good} --fleet_secret_file={secret} --author=anna", ExitCode.BAD_INPUT),
    ("key add --fleet_secret_file={secret}", ExitCode.BAD_INPUT),
    ("key", ExitCode.BAD_INPUT),
    ("key list --store=localhost:1", ExitCode.BAD_INPUT),
    ("status --no_such_flag", ExitCode.BAD_INPUT),
    ("frobnicate", ExitCode.BAD_INPUT),
    ("", ExitCode.BAD_INPUT),
    ("--help", ExitCode.OK),
]


@pytest.mark.parametrize(("command", "code"), COMMAND_LINE_CASES)
def test_exit_code_of_command_lines(
    command: str, code: ExitCode, tmp_path: Path, declaration: str, capsys: Any
) -> None:
    """Guards against a wrong exit code, and an error without an explanation."""
    bad = tmp_path / "bad.toml"
    bad.write_text("version = 2")
    secret = tmp_path / "secret"
    secret.write_bytes(SECRET)
    names = {
        "good": declaration,
        "bad": bad,
        "missing": tmp_path / "x",
        "secret": secret,
    }
    values = flags.FlagValues()
    define_flags(values)
    # Nothing listens on port 1, so the store does not answer.
    argv = ["heathermountctl", "--store=127.0.0.1:1", *command.format(**names).split()]
    try:
        result = execute(values, parse_flags(values, argv)[1:])
    except SystemExit as end:
        result = end.code
    output = capsys.readouterr()
    assert result == code
    assert (code == ExitCode.OK) == bool(output.out)
    assert (code != ExitCode.OK) == bool(output.err)
