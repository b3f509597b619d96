"""What a gateway node knows of the fleet: the other nodes and the configuration."""

from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from heathermount.clocks import Clock
from heathermount.gateway.configuration_tracker import ConfigurationTracker
from heathermount.gateway.configuration_updater import (
    ConfigurationReader,
    ConfigurationUpdater,
)
from heathermount.gateway.messages import Ping, Pong
from heathermount.gateway.news import NewsBoard, NewsFollower, SourceLinks
from heathermount.gateway.node_records import NodeRecord
from heathermount.gateway.registration import Registration
from heathermount.gateway.registry import Registry
from heathermount.routing.quarantine import Quarantine
from heathermount.store.interface import WatchedStore

__all__ = ["FleetView"]


class FleetView:
    """Keeps the knowledge of one node up to date, from other nodes or the store."""

    __slots__ = (
        "_first_read_delay_s",
        "_on_change",
        "_quarantine",
        "_tracker",
        "_updater",
        "board",
        "follower",
        "registration",
        "registry",
    )

    def __init__(
        self,
        record: NodeRecord,
        store: WatchedStore,
        reader: ConfigurationReader,
        tracker: ConfigurationTracker,
        quarantine: Quarantine,
        links: SourceLinks,
        is_reachable: Callable[[NodeRecord], bool],
        on_change: Callable[[], None],
        first_read_delay_s: float,
        clock: Clock,
        random: Random,
    ) -> None:
        self._tracker = tracker
        self._quarantine = quarantine
        # Called when the set of nodes or one of their records has changed.
        self._on_change = on_change
        self._first_read_delay_s = first_read_delay_s
        self.registration = Registration(
            store, record, self._handle_own_record_changed, random
        )
        self.registry = Registry(
            store,
            clock,
            self.registration,
            self._handle_nodes_changed,
            is_reachable,
            random,
        )
        self.board = NewsBoard(clock, tracker, self.registry.directory)
        quarantine.on_new_suspicion = self.board.publish
        self.follower = NewsFollower(
            clock, tracker, links, self.make_ping, self._take_news, random
        )
        self._updater = ConfigurationUpdater(
            reader, tracker, self.follower, self.board.publish, clock, random
        )

    def loops(self) -> tuple[Callable[[], Coroutine[Any, Any, None]], ...]:
        """Return the coroutine functions that run until the node stops."""
        return (
            self.registration.maintain,
            self._watch_nodes,
            self.follower.follow,
            self._updater.watch,
            self._updater.poll,
        )

    def make_ping(self, wait_s: float = 0.0) -> Ping:
        """Return a link heartbeat, or with `wait_s` a request for news."""
        return Ping(
            self.registration.record.node,
            self._tracker.version,
            self._tracker.age_s(),
            self._quarantine.select_suspicions_to_share(),
            wait_s,
            self.registry.directory.revision,
        )

    def _take_news(self, pong: Pong, answered_at: float) -> None:
        """Apply the news of a source; `answered_at` is the earliest time of its answer.

        News that are new to this node are passed on to its own followers at once.
        """
        tracker, directory = self._tracker, self.registry.directory
        known = tracker.version, tracker.confirmed_at, directory.revision
        self._quarantine.merge(pong.suspicions)
        tracker.update_from_peer(
            pong.version, pong.age_s, answered_at, pong.configuration
        )
        if pong.revision:
            self.registry.update_from_peer(pong)
        if known != (tracker.version, tracker.confirmed_at, directory.revision):
            self.board.publish()

    async def _watch_nodes(self) -> None:
        """Learn of the other nodes, then follow their entries in the store."""
        if not self.registry.synchronised:
            await self.registry.load(self._first_read_delay_s)
        await self.registry.watch_store(self.follower.reading)

    def _handle_own_record_changed(self) -> None:
        self.registry.handle_own_record_changed()

    def _handle_nodes_changed(self) -> None:
        if self.registry.synchronised or self.registry.load_failed:
            self.follower.update_nodes(
                self.registration.record, self.registry.nodes.values()
            )
        self._on_change()
        self.board.publish()
