"""Effects of the known nodes on routing, quota, retry budget and links."""

from collections.abc import Callable
from typing import Final

from absl import logging

from heathermount.gateway.departures import Departures
from heathermount.gateway.links import LinkTable
from heathermount.gateway.node_records import NodeRecord
from heathermount.gateway.quota import QuotaShares
from heathermount.gateway.registry import Registry, make_member
from heathermount.gateway.retry_budget import RetryBudget
from heathermount.routing.balancer import Balancer
from heathermount.routing.members import Member

__all__ = ["MembershipUpdater"]

# A whole fleet can be replaced while a departed server may still seem to serve.
MAX_STATED_DEPARTURES: Final = 4096


class MembershipUpdater:
    """Passes the known nodes on, without servers that have stated their departure.

    The node that passed such a response on keeps the departure in mind, because the
    node beside the server may start again without a memory of it.
    """

    __slots__ = (
        "_balancer",
        "_get_registry",
        "_known_services",
        "_links",
        "_own_name",
        "_quota",
        "_retry_budget",
        "_stated_departures",
    )

    def __init__(
        self,
        own_name: str,
        get_registry: Callable[[], Registry],
        balancer: Balancer,
        quota: QuotaShares,
        retry_budget: RetryBudget,
        links: LinkTable,
    ) -> None:
        self._own_name = own_name
        self._get_registry = get_registry
        self._balancer = balancer
        self._quota = quota
        self._retry_budget = retry_budget
        self._links = links
        self._known_services: set[str] = set()
        self._stated_departures = Departures(MAX_STATED_DEPARTURES)

    def update(self) -> None:
        """Handle that the known nodes have changed."""
        registry = self._get_registry()
        nodes = registry.nodes
        self._update_servers(nodes)
        # Only nodes that all others know may use a part of a fleet-wide limit. A node
        # without a server often leaves soon. It passes its shares on while it still
        # runs, unless no node has a server.
        holders = registry.list_registered_servers()
        self._quota.update_nodes(holders or registry.list_registered_nodes())
        self._retry_budget.node_count = len(nodes)
        self._retry_budget.uses_slack = registry.registered
        addresses = {
            record.address for record in nodes.values() if record.node != self._own_name
        }
        self._links.close_all_except(addresses)

    def handle_stated_departure(self, server_id: str, born_ms: int) -> None:
        """Take a server out of routing that stated in a response that it leaves."""
        if not self._stated_departures.add(server_id, born_ms):
            return
        logging.info(
            "event=server-departure-stated server=%s born_ms=%d", server_id, born_ms
        )
        self._update_servers(self._get_registry().nodes)

    def _update_servers(self, nodes: dict[str, NodeRecord]) -> None:
        services: dict[str, list[Member]] = {
            service: [] for service in self._known_services
        }
        departures = self._stated_departures
        for record in nodes.values():
            members = services.setdefault(record.service, [])
            server = record.server
            if server is None or departures.includes(server.server_id, server.born_ms):
                continue
            members.append(make_member(record))
        self._known_services = set(services)
        for service, members in services.items():
            self._balancer.update(service, members)
