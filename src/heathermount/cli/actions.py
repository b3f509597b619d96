"""Operations of heathermountctl, as functions over the store and the nodes."""

import ssl
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Final, TypeVar

import anyio
import msgspec

from heathermount.clocks import Clock, SystemClock
from heathermount.config.declaration import Declaration
from heathermount.config.documents import Change
from heathermount.config.operator_changes import (
    Preview,
    add_key,
    apply_declaration,
    preview_declaration,
    read_document,
    withdraw_key,
)
from heathermount.config.settings import Settings
from heathermount.config.validation import load_toml
from heathermount.errors import (
    ConfigurationProblem,
    InvalidMessage,
    PeerError,
    StoreUnavailable,
)
from heathermount.events import Event, merge_events
from heathermount.membership import ROSTER_PREFIX, MemberRecord, RosterRecord
from heathermount.store import Store
from heathermount.wire.control import (
    ControlClient,
    DrainReply,
    DrainRequest,
    PushReply,
    PushRequest,
    RosterReply,
    RosterRequest,
    StatusReply,
    StatusRequest,
    TimelineReply,
    TimelineRequest,
)

__all__ = [
    "FleetAccess",
    "KeyInfo",
    "Node",
    "NodeState",
    "Rollout",
    "check_file",
    "collect_timeline",
    "diff_declaration",
    "find_nodes",
    "list_keys",
    "read_states",
    "roll_out_declaration",
    "roll_out_key_withdrawal",
    "roll_out_new_key",
    "set_draining",
]

# Nodes of each service that a change is pushed to; the others get it from them.
PUSHES_PER_SERVICE: Final = 3
NODE_CALL_TIMEOUT_S: Final = 2.0
CONFIRMATION_POLL_S: Final = 0.25
# Store calls are limited for the whole fleet, so the tool rereads the rosters
# rarely while it waits for confirmations.
ROSTER_READ_INTERVAL_S: Final = 1.0
MAX_CONCURRENT_CALLS: Final = 64

Reply = TypeVar("Reply")
Item = TypeVar("Item")
Result = TypeVar("Result")


class FleetAccess:
    """Connection settings of a fleet: its store, its secret and seed nodes.

    `seeds` are control addresses that are asked for rosters when the store is down.
    """

    __slots__ = ("clock", "secret", "seeds", "store", "timeout_s", "tls")

    def __init__(
        self,
        store: Store,
        secret: bytes,
        timeout_s: float = 20.0,
        seeds: Iterable[str] = (),
        tls: ssl.SSLContext | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.store = store
        self.secret = secret
        self.timeout_s = timeout_s
        self.seeds = list(seeds)
        self.tls = tls
        self.clock = clock or SystemClock()

    async def call(self, address: str, request: Any, reply_type: type[Reply]) -> Reply:
        """Call one node; raises the errors of ControlClient.call."""
        client = ControlClient(address, self.secret, self.clock, self.tls)
        try:
            timeout_s = min(NODE_CALL_TIMEOUT_S, self.timeout_s)
            return await client.call(request, reply_type, timeout_s)
        finally:
            client.close()


class Node(msgspec.Struct, frozen=True, order=True):
    """One node of the fleet and its control address."""

    service: str
    name: str
    control: str
    failure_domain: str = ""


class NodeState(msgspec.Struct, frozen=True):
    """Status of one node, or why it could not be read."""

    node: Node
    status: StatusReply | None = None
    error: str = ""


class KeyInfo(msgspec.Struct, frozen=True):
    """A key in the stored configuration, without its secret."""

    key_id: str
    organisation: str
    withdrawn: bool


class Rollout(msgspec.Struct, frozen=True):
    """An accepted change, and the nodes that have not confirmed it in time."""

    revision: int
    change_id: str
    # False for a change without effect, which is not written.
    changed: bool
    # Number of nodes that should confirm the change.
    nodes: int
    unconfirmed: list[NodeState]
    # The issued key; empty for other changes.
    key: str = ""


def check_file(path: str) -> str:
    """Validate a file; return its kind, "declaration" or (of a node) "settings".

    Raises an exception group of ConfigurationProblem.
    """
    table = load_toml(path)
    if "node" in table or "listen" in table:
        Settings.from_config(table, path)
        return "settings"
    Declaration.from_config(table, path)
    return "declaration"


async def diff_declaration(access: FleetAccess, path: str) -> Preview:
    """Return what applying a declaration file would change."""
    return await preview_declaration(access.store, Declaration.from_file(path))


async def roll_out_declaration(
    access: FleetAccess,
    path: str,
    author: str,
    note: str,
    base_revision: int | None = None,
) -> Rollout:
    """Apply a declaration file, push the change and wait for confirmations.

    Raises the errors of heathermount.config.operator_changes.apply_declaration.
    """
    declaration = Declaration.from_file(path)
    # Reads the rosters before the write, so that the push does not need the store.
    nodes = await find_nodes(access)
    change = await apply_declaration(
        access.store, declaration, author, note, base_revision
    )
    return await roll_out_change(access, change, nodes)


async def roll_out_new_key(
    access: FleetAccess, organisation: str, author: str
) -> Rollout:
    """Issue a key, push the change and wait for confirmations."""
    nodes = await find_nodes(access)
    key, change = await add_key(access.store, organisation, author, access.secret)
    rollout = await roll_out_change(access, change, nodes)
    return msgspec.structs.replace(rollout, key=key)


async def roll_out_key_withdrawal(
    access: FleetAccess, key_id: str, author: str
) -> Rollout:
    """Withdraw a key, push the change and wait for confirmations."""
    nodes = await find_nodes(access)
    change = await withdraw_key(access.store, key_id, author)
    return await roll_out_change(access, change, nodes)


async def list_keys(access: FleetAccess) -> list[KeyInfo]:
    """Return all keys in the store, without secrets."""
    document = (await read_document(access.store)).document
    return [
        KeyInfo(
            path.removeprefix("keys/"),
            str(entry["organisation"]),
            bool(entry.get("withdrawn", False)),
        )
        for path, entry in sorted(document.entries.items())
        if path.startswith("keys/")
    ]


async def find_nodes(access: FleetAccess) -> list[Node]:
    """Return the nodes in the store's rosters, or in the seeds' if it is down.

    Raises StoreUnavailable when the store is down and the seeds know no node.
    """
    try:
        records = await access.store.get_prefix(ROSTER_PREFIX)
    except StoreUnavailable:
        nodes = await find_nodes_by_seeds(access)
        if not nodes:
            raise
        return nodes
    return collect_nodes(RosterRecord.decode(item.value) for item in records.values())


def collect_nodes(rosters: Iterable[RosterRecord]) -> list[Node]:
    return sorted(
        {make_node(roster, member) for roster in rosters for member in roster.members}
    )


def make_node(roster: RosterRecord, member: MemberRecord) -> Node:
    return Node(roster.service, member.node, member.control, member.failure_domain)


async def find_nodes_by_seeds(access: FleetAccess) -> list[Node]:
    """Return the nodes of the seeds' services, from the seeds' own rosters."""
    rosters = await map_concurrently(
        access.seeds, lambda seed: fetch_roster(access, seed)
    )
    return collect_nodes(roster for roster in rosters if roster is not None)


async def fetch_roster(access: FleetAccess, seed: str) -> RosterRecord | None:
    try:
        status = await access.call(seed, StatusRequest(), StatusReply)
        reply = await access.call(seed, RosterRequest(status.service), RosterReply)
    except PeerError:
        return None
    return RosterRecord.decode(reply.roster) if reply.roster else None


async def read_states(access: FleetAccess, nodes: Iterable[Node]) -> list[NodeState]:
    """Return the status of each node, in the given order."""

    async def read(node: Node) -> NodeState:
        try:
            status = await access.call(node.control, StatusRequest(), StatusReply)
        except PeerError as error:
            return NodeState(node, error=str(error))
        return NodeState(node, status)

    return await map_concurrently(nodes, read)


async def set_draining(access: FleetAccess, name: str, draining: bool) -> DrainReply:
    """Start or end the draining of a node's backend server.

    Raises ConfigurationProblem for an unknown node, PeerError when the node
    refuses the request or does not answer.
    """
    nodes = [node for node in await find_nodes(access) if node.name == name]
    if not nodes:
        raise ConfigurationProblem(
            "nodes", name, "is in no roster", "run status and name one of its nodes"
        )
    return await access.call(nodes[0].control, DrainRequest(draining), DrainReply)


async def collect_timeline(
    access: FleetAccess, since_us: int
) -> tuple[list[Event], list[NodeState]]:
    """Return all nodes' events in causal order, and the nodes that did not answer."""
    failed: list[NodeState] = []

    async def read(node: Node) -> list[Event]:
        request = TimelineRequest(since_us)
        try:
            reply = await access.call(node.control, request, TimelineReply)
        except PeerError as error:
            failed.append(NodeState(node, error=str(error)))
            return []
        return reply.events

    event_logs = await map_concurrently(await find_nodes(access), read)
    return merge_events(event_logs), sorted(failed, key=lambda state: state.node)


async def roll_out_change(
    access: FleetAccess, change: Change, nodes: list[Node]
) -> Rollout:
    """Push an accepted change and wait for confirmations, or until the timeout."""
    # A change without effect is neither written nor pushed. Nodes may still lag
    # behind the revision that made it unnecessary, so it is waited for as well.
    changed = bool(change.sets or change.removes)
    if changed:
        await push_change(access, change, nodes)
    unconfirmed = await wait_for_confirmation(access, change, nodes)
    return Rollout(change.revision, change.change_id, changed, len(nodes), unconfirmed)


async def push_change(access: FleetAccess, change: Change, nodes: list[Node]) -> None:
    """Push a change to up to PUSHES_PER_SERVICE nodes of each service."""
    request = PushRequest(msgspec.msgpack.encode(change))
    services: dict[str, list[Node]] = {}
    for node in nodes:
        services.setdefault(node.service, []).append(node)

    async def push_to_service(members: list[Node]) -> None:
        accepted = 0
        for node in members:
            if accepted == PUSHES_PER_SERVICE:
                return
            try:
                await access.call(node.control, request, PushReply)
            except PeerError:
                # Tries the next node; wait_for_confirmation reports this one.
                continue
            accepted += 1

    await map_concurrently(services.values(), push_to_service)


async def wait_for_confirmation(
    access: FleetAccess, change: Change, nodes: list[Node]
) -> list[NodeState]:
    """Wait until the nodes report a change; return those that do not in time.

    Nodes that leave their roster in the meantime are not waited for.
    """
    started_at = rosters_read_at = access.clock.monotonic()
    pending = nodes
    while True:
        states = await read_states(access, pending)
        unconfirmed = [
            state for state in states if not has_applied_change(state, change)
        ]
        now = access.clock.monotonic()
        if not unconfirmed or now - started_at >= access.timeout_s:
            return unconfirmed
        pending = [state.node for state in unconfirmed]
        if now - rosters_read_at >= ROSTER_READ_INTERVAL_S:
            rosters_read_at = now
            pending = await drop_departed_nodes(access, pending)
        await anyio.sleep(CONFIRMATION_POLL_S)


def has_applied_change(state: NodeState, change: Change) -> bool:
    status = state.status
    if status is None:
        return False
    if status.revision == change.revision:
        return status.change_id == change.change_id
    return status.revision > change.revision


async def drop_departed_nodes(access: FleetAccess, nodes: list[Node]) -> list[Node]:
    """Return the nodes still in a roster; all if the rosters cannot be read."""
    try:
        members = set(await find_nodes(access))
    except (StoreUnavailable, InvalidMessage):
        # The change is already accepted; an error here would hide that.
        return nodes
    return [node for node in nodes if node in members]


async def map_concurrently(
    items: Iterable[Item], function: Callable[[Item], Awaitable[Result]]
) -> list[Result]:
    """Call a function on all items concurrently; return results in item order."""
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)
    results: dict[int, Result] = {}

    async def run(position: int, item: Item) -> None:
        async with limiter:
            results[position] = await function(item)

    async with anyio.create_task_group() as tasks:
        for position, item in enumerate(items):
            tasks.start_soon(run, position, item)
    return [results[position] for position in sorted(results)]
