"""Members of a service's group, among which the balancer chooses."""

import msgspec

__all__ = ["Member"]


class Member(msgspec.Struct, frozen=True):
    """One node with its backend server.

    `peer_address` is the node's address for links from other nodes. `joined_at` is in
    seconds since the Unix epoch, because other nodes read it.
    """

    node: str
    incarnation: str
    peer_address: str
    failure_domain: str
    slots: int
    cold_start_s: float = 0.0
    joined_at: float = 0.0
    draining: bool = False
