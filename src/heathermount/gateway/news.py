"""Distribution of configuration, node entries and suspicions between the nodes.

In each failure domain the nodes form a tree, ordered by rendezvous hashing, and the
roots of all trees follow the one in the first failure domain, which reads the store on
behalf of the fleet. Every other node asks a node further up for news. An answer is held
back until there is some, so news pass a level of the tree in one network delay, and a
node's cost does not depend on the size of the fleet.
"""

import asyncio
from collections.abc import Iterable
from random import Random
from typing import Final, Protocol

from absl import logging

from heathermount.clocks import Clock
from heathermount.errors import PeerError
from heathermount.gateway.configuration_tracker import ConfigurationTracker
from heathermount.gateway.messages import Ping, Pong
from heathermount.gateway.node_records import NodeDirectory, NodeRecord
from heathermount.rendezvous import compute_rank

__all__ = ["NewsBoard", "NewsFollower", "Place", "SourceLinks", "choose_place"]

# Nodes that share a place in the tree and stand in for each other, and places below
# each place. A node answers at most 2 x 8 followers, and 8 in the usual case.
NODES_PER_PLACE: Final = 2
CHILD_PLACES: Final = 8

# Longest time for which an answer without news is held back, and the time allowed
# for its delivery after that.
HOLD_S: Final = 1.0
DELIVERY_TIMEOUT_S: Final = 0.5

# Shortest time between two requests for news, which batches changes.
MIN_REQUEST_INTERVAL_S: Final = 0.1

# Pause after no source had news.
NO_SOURCE_PAUSE_S: Final = 0.5

# A confirmation of the configuration counts as news if it is this much later than
# the follower's.
CONFIRMATION_STEP_S: Final = 0.2

# Ages of the last confirmation, as ratios of the update bound, at which a node reads
# the configuration from the store: the reader regularly, the first nodes of each
# failure domain when the reader fails, and any other node when those do. Whatever
# the other nodes do, a node that reaches the store thus learns of a change in time.
# The rest of the bound covers the read and one repetition of it.
READER_AGE_RATIO: Final = 0.4
STAND_IN_AGE_RATIO: Final = 0.5
FOLLOWER_AGE_RATIO: Final = 0.65

# A source with an older confirmation does not know whether its entries are current.
MAX_SOURCE_AGE_RATIO: Final = 0.6


def rank_domain(domain: str, nodes: Iterable[NodeRecord]) -> list[NodeRecord]:
    """Return the nodes of a failure domain in the order of its tree."""
    members = [record for record in nodes if record.failure_domain == domain]
    return sorted(members, key=lambda record: compute_rank(domain, record.node))


class Place:
    """A node's place among the others, and the nodes that it asks for news."""

    __slots__ = ("is_reader", "position", "sources")

    def __init__(
        self, position: int, is_reader: bool, sources: list[NodeRecord]
    ) -> None:
        # Position in the tree of the failure domain, from 0.
        self.position = position
        # Whether the node reads the store on behalf of the fleet.
        self.is_reader = is_reader
        # In the order in which they are asked.
        self.sources = sources


def choose_place(own: NodeRecord, nodes: Iterable[NodeRecord], random: Random) -> Place:
    """Choose a node's place; all nodes with the same view of the fleet agree on it.

    Only the last source is chosen at random, among the other failure domains.
    """
    records = list(nodes)
    ranked = rank_domain(own.failure_domain, records)
    position = [record.node for record in ranked].index(own.node)
    foreign = [r for r in records if r.failure_domain != own.failure_domain]
    stand_ins = random.sample(foreign, min(1, len(foreign)))
    place = position // NODES_PER_PLACE
    if place:
        parent = (place - 1) // CHILD_PLACES * NODES_PER_PLACE
        above = ranked[parent : parent + NODES_PER_PLACE]
        if position % NODES_PER_PLACE:
            above.reverse()
        return Place(position, False, above + stand_ins)
    neighbours = [r for r in ranked[:NODES_PER_PLACE] if r.node != own.node]
    if position:
        return Place(position, False, neighbours + stand_ins)
    first_domain = min(record.failure_domain for record in records)
    if own.failure_domain == first_domain:
        return Place(position, True, stand_ins + neighbours)
    root = rank_domain(first_domain, records)[:1]
    return Place(position, False, root + neighbours + stand_ins)


class NewsBoard:
    """Answers requests for news, and holds back those answers that have none."""

    __slots__ = ("_changed", "_clock", "_directory", "_tracker", "answered")

    def __init__(
        self, clock: Clock, tracker: ConfigurationTracker, directory: NodeDirectory
    ) -> None:
        self._clock = clock
        self._tracker = tracker
        self._directory = directory
        self._changed = asyncio.Event()
        # Requests for news answered since the start.
        self.answered = 0

    def publish(self) -> None:
        """Answer all requests that are held back."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def complete_answer(self, ping: Ping, pong: Pong) -> Pong:
        """Wait for news, then add them to the answer."""
        received_at = self._clock.monotonic()
        if not self._has_news(ping):
            try:
                async with asyncio.timeout(min(ping.wait_s, HOLD_S)):
                    await self._changed.wait()
            except TimeoutError:
                # The answer shows that this node is alive.
                pass
        self.answered += 1
        tracker, directory = self._tracker, self._directory
        pong.version = tracker.version
        if ping.version < tracker.version:
            pong.configuration = tracker.encoded_document
        changes = directory.changes_since(ping.revision)
        pong.complete = changes is None or ping.revision == 0
        pong.changes = directory.entries() if pong.complete else changes or []
        pong.revision = directory.revision
        pong.age_s = tracker.age_s()
        pong.held_s = self._clock.monotonic() - received_at
        return pong

    def _has_news(self, ping: Ping) -> bool:
        return (
            self._tracker.version > ping.version
            or self._directory.revision > ping.revision
            or (
                self._tracker.version == ping.version
                and self._tracker.age_s() + CONFIRMATION_STEP_S < ping.age_s
            )
        )


class SourceLinks(Protocol):
    """Sends a request for news to another node."""

    async def ask(self, address: str, ping: Ping, timeout_s: float) -> Pong:
        """Return the answer; raise PeerError if there is none."""


class NewsFollower:
    """Follows a node further up the tree and decides whether to read the store.

    `reading` is set while this node watches the store: always at the reader, at other
    nodes only while no source has current news.
    """

    __slots__ = (
        "_clock",
        "_has_sound_source",
        "_links",
        "_make_ping",
        "_random",
        "_take_news",
        "_tracker",
        "joined_at",
        "place",
        "reading",
        "requests",
        "source",
    )

    def __init__(
        self,
        clock: Clock,
        tracker: ConfigurationTracker,
        links: SourceLinks,
        make_ping: "MakePing",
        take_news: "TakeNews",
        random: Random,
    ) -> None:
        self._clock = clock
        self._tracker = tracker
        self._links = links
        self._make_ping = make_ping
        self._take_news = take_news
        self._random = random
        self._has_sound_source = False
        self.reading = asyncio.Event()
        # None until the other nodes are known.
        self.place: Place | None = None
        # When the place became known.
        self.joined_at = float("inf")
        # Node that gave the last news, or "store"; empty before the first news.
        self.source = ""
        # Requests for news sent since the start.
        self.requests = 0

    def update_nodes(self, own: NodeRecord, nodes: Iterable[NodeRecord]) -> None:
        """Choose the place and the sources from the known nodes."""
        if self.place is None:
            self.joined_at = self._clock.monotonic()
        self.place = choose_place(own, nodes, self._random)
        if self.place.is_reader:
            self.reading.set()
        elif self._has_sound_source:
            self.reading.clear()

    @property
    def is_follower(self) -> bool:
        """Whether the node usually learns of changes from other nodes."""
        return self.place is not None and not self.place.is_reader

    def time_to_read_s(self) -> float:
        """Return the time until this node reads the configuration from the store."""
        place = self.place
        if place is None:
            return NO_SOURCE_PAUSE_S
        ratio = FOLLOWER_AGE_RATIO
        if place.position < NODES_PER_PLACE:
            ratio = READER_AGE_RATIO if place.is_reader else STAND_IN_AGE_RATIO
        age_s = self._tracker.age_s()
        if self._tracker.policy is None and not place.is_reader:
            # A node that has just started asks its sources first.
            age_s = min(age_s, self._clock.monotonic() - self.joined_at)
        return ratio * self._tracker.update_bound_s - age_s

    def handle_read(self) -> None:
        """Watch the store from now on if no source is current but the store is."""
        if not self._has_sound_source:
            self.reading.set()
            self._note_source("store")

    async def follow(self) -> None:
        """Ask the sources for news, one after the other, until cancelled."""
        while True:
            for record in self._sources():
                await self._follow_source(record)
                if self._has_sound_source:
                    break
            else:
                await asyncio.sleep(NO_SOURCE_PAUSE_S)

    async def _follow_source(self, record: NodeRecord) -> None:
        """Take news from one source until it fails, lags or is no longer chosen."""
        while record in self._sources():
            sent_at = self._clock.monotonic()
            self.requests += 1
            try:
                pong = await self._links.ask(
                    record.address, self._make_ping(HOLD_S), HOLD_S + DELIVERY_TIMEOUT_S
                )
            except PeerError as error:
                logging.log_every_n_seconds(
                    logging.INFO,
                    'event=source-failed peer=%s error="%s"',
                    1,
                    record.node,
                    error,
                )
                self._has_sound_source = False
                return
            self._take_news(pong, sent_at + pong.held_s)
            max_age_s = MAX_SOURCE_AGE_RATIO * self._tracker.update_bound_s
            self._has_sound_source = pong.revision > 0 and pong.age_s <= max_age_s
            if not self._has_sound_source:
                return
            self._note_source(record.node)
            if self.is_follower:
                self.reading.clear()
            if record not in self._sources()[:1]:
                # Return to the preferred source as soon as it answers again.
                return
            await asyncio.sleep(
                max(0.0, MIN_REQUEST_INTERVAL_S + sent_at - self._clock.monotonic())
            )

    def _note_source(self, source: str) -> None:
        if source != self.source:
            logging.info(
                "event=news-source-changed source=%s previous=%s age_s=%.2f",
                source,
                self.source,
                self._tracker.age_s(),
            )
        self.source = source

    def _sources(self) -> list[NodeRecord]:
        return self.place.sources if self.place is not None else []


class MakePing(Protocol):
    def __call__(self, wait_s: float) -> Ping: ...


class TakeNews(Protocol):
    def __call__(self, pong: Pong, answered_at: float) -> None: ...
