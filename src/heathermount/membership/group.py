"""Failure detection by heartbeats between the nodes of one service."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Final

import anyio
from anyio.abc import TaskGroup

from heathermount.clocks import Clock
from heathermount.errors import (
    PeerError,
    PeerRefused,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from heathermount.events import EventLog
from heathermount.membership.records import MemberRecord
from heathermount.membership.roster import Roster
from heathermount.rendezvous import compute_rank
from heathermount.wire.link import LinkPool
from heathermount.wire.messages import Heartbeat, HeartbeatReply

__all__ = ["Group", "PeerState"]

# A peer that has not answered for this long gets no new work. Also the timeout of a
# heartbeat.
SUSPECT_AFTER_S: Final = 1.5
# A peer that has not answered for this long is removed from the roster.
REMOVE_AFTER_S: Final = 15.0
# Removals by different groups are spread over this time, so that the loss of a
# failure domain does not make all groups write to the store at once.
REMOVAL_SPREAD_S: Final = 4.0
RANK_COUNT: Final = 2**64  # number of distinct reader ranks
# In larger groups a node sends heartbeats only to its next RING_SUCCESSOR_COUNT
# members in the order of names, which wraps around.
MAX_ALL_TO_ALL_MEMBERS: Final = 32
RING_SUCCESSOR_COUNT: Final = 8


class PeerState:
    """Liveness of one peer in the group."""

    __slots__ = (
        "answered_at",
        "known_dead",
        "known_since",
        "member",
        "reply",
    )

    def __init__(self, member: MemberRecord, now: float) -> None:
        self.member = member
        self.known_since = now
        self.answered_at: float | None = None
        self.reply: HeartbeatReply | None = None
        # A refused connection or a reply by another incarnation proves that this
        # incarnation has ended.
        self.known_dead = False

    def get_silence_s(self, now: float) -> float:
        return now - (self.answered_at or self.known_since)

    def is_alive(self, now: float) -> bool:
        return not self.known_dead and self.get_silence_s(now) < SUSPECT_AFTER_S


class Group:
    """Monitors the nodes of this node's own service."""

    __slots__ = (
        "_build_heartbeat",
        "_cancel_scopes",
        "_clock",
        "_events",
        "_handle_reply",
        "_links",
        "_period_s",
        "_remove_after_s",
        "_tasks",
        "node",
        "peers",
        "roster",
    )

    def __init__(
        self,
        node: str,
        roster: Roster,
        links: LinkPool,
        clock: Clock,
        events: EventLog,
        period_s: float,
        build_heartbeat: Callable[[], Heartbeat],
        handle_reply: Callable[[MemberRecord, HeartbeatReply, float], Awaitable[None]],
    ) -> None:
        self.node = node
        self.roster = roster
        self.peers: dict[str, PeerState] = {}
        self._links = links
        self._clock = clock
        self._events = events
        self._period_s = period_s
        self._build_heartbeat = build_heartbeat
        self._handle_reply = handle_reply
        self._cancel_scopes: dict[str, anyio.CancelScope] = {}
        self._tasks: TaskGroup | None = None
        rank_ratio = int.from_bytes(compute_rank(roster.service, node)) / RANK_COUNT
        self._remove_after_s = REMOVE_AFTER_S + rank_ratio * REMOVAL_SPREAD_S

    def live_members(self) -> list[str]:
        """Return the live nodes, including this one if it is in the roster."""
        now = self._clock.monotonic()
        live = [name for name, peer in self.peers.items() if peer.is_alive(now)]
        if self.roster.record.find(self.node) is not None:
            live.append(self.node)
        return sorted(live)

    def has_heard_from_all(self) -> bool:
        """Tell whether each monitored peer has answered once or is known dead."""
        heard = {
            name
            for name, peer in self.peers.items()
            if peer.known_dead or peer.answered_at is not None
        }
        return all(member.node in heard for member in self._find_monitored_members())

    def is_dead(self, caller: str) -> bool:
        """Tell whether "<node>/<incarnation>" is a peer that is known to have ended."""
        node, _, incarnation = caller.partition("/")
        peer = self.peers.get(node)
        if peer is None:
            return False
        return peer.known_dead or peer.member.incarnation != incarnation

    def reader(self) -> str:
        """Return the live node that reads the store on behalf of the group."""
        candidates = self.live_members() or [self.node]
        return min(candidates, key=lambda node: compute_rank(self.roster.service, node))

    def is_reader(self) -> bool:
        return self.reader() == self.node

    async def run(self) -> None:
        """Run one heartbeat task for each monitored peer; never returns."""
        async with anyio.create_task_group() as self._tasks:
            while True:
                self._sync_peers(self._tasks)
                await self._remove_dead_peers()
                await anyio.sleep(self._period_s)

    def _sync_peers(self, tasks: TaskGroup) -> None:
        monitored = {m.node: m for m in self._find_monitored_members()}
        for name in list(self.peers):
            member = monitored.get(name)
            if member is not None and member == self.peers[name].member:
                continue
            del self.peers[name]
            self._cancel_scopes.pop(name).cancel()
        for name, member in monitored.items():
            if name not in self.peers:
                peer = PeerState(member, self._clock.monotonic())
                scope = anyio.CancelScope()
                self.peers[name] = peer
                self._cancel_scopes[name] = scope
                tasks.start_soon(self._run_heartbeats, peer, scope)

    def _find_monitored_members(self) -> list[MemberRecord]:
        members = self.roster.record.members
        others = [m for m in members if m.node != self.node]
        if len(members) <= MAX_ALL_TO_ALL_MEMBERS:
            return others
        later = [m for m in others if m.node > self.node]
        earlier = [m for m in others if m.node < self.node]
        return (later + earlier)[:RING_SUCCESSOR_COUNT]

    async def _run_heartbeats(self, peer: PeerState, scope: anyio.CancelScope) -> None:
        """Send heartbeats to one peer until its scope is cancelled."""
        with scope:
            while True:
                await self._send_heartbeat(peer)
                await anyio.sleep(self._period_s)

    async def _send_heartbeat(self, peer: PeerState) -> None:
        sent_at = self._clock.monotonic()
        try:
            reply = await self._links.call(
                peer.member.peers, self._build_heartbeat(), SUSPECT_AFTER_S
            )
        except PeerRefused:
            self._mark_dead(peer, "connection-refused")
            return
        except PeerError:
            return
        if not isinstance(reply, HeartbeatReply):
            return
        if reply.incarnation != peer.member.incarnation:
            self._mark_dead(peer, "other-incarnation")
            return
        peer.known_dead = False
        peer.reply = reply
        peer.answered_at = self._clock.monotonic()
        self._events.observe(*reply.timestamp)
        await self._handle_reply(peer.member, reply, sent_at)

    def _mark_dead(self, peer: PeerState, proof: str) -> None:
        if not peer.known_dead:
            peer.known_dead = True
            self._events.record("peer-dead", peer=peer.member.node, proof=proof)

    async def _remove_dead_peers(self) -> None:
        """Remove dead and silent peers from the roster if this node is the reader."""
        now = self._clock.monotonic()
        lost_peers = [
            peer
            for peer in self.peers.values()
            if peer.known_dead or peer.get_silence_s(now) > self._remove_after_s
        ]
        if not lost_peers or not self.is_reader():
            return
        with suppress(StoreUnavailable, StoreOutcomeUnknown):
            await self.roster.remove(
                {(peer.member.node, peer.member.incarnation) for peer in lost_peers}
            )
