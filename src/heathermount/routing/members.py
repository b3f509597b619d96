"""Members of a service's group, among which the balancer chooses."""

import msgspec

__all__ = ["Member"]


class Member(msgspec.Struct, frozen=True):
    """One node with its backend server.

    `peer_address` is the node's address for links from other nodes. `slots` is the
    number of requests that the backend server announced it can run at once. After
    `joined_at`, its limit ramps up for `cold_start_s`. `joined_at` is in seconds
    since the Unix epoch, because other nodes read it.
    """

    node: str
    incarnation: str
    peer_address: str
    failure_domain: str
    slots: int
    cold_start_s: float = 0.0
    joined_at: float = 0.0
    draining: bool = False
