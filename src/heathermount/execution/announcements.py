"""Announcements of backend servers."""

__all__ = ["Announcement"]


class Announcement:
    """Address and limits with which a backend server registers at its node.

    `slots` is the number of requests that it can run at once, `connections` the
    number of connections that it accepts.
    """

    __slots__ = (
        "address",
        "cold_start_s",
        "connections",
        "health_path",
        "load_path",
        "slots",
    )

    def __init__(
        self,
        address: str,
        slots: int,
        connections: int,
        cold_start_s: float = 0.0,
        health_path: str = "",
        load_path: str = "",
    ) -> None:
        self.address = address
        self.slots = slots
        self.connections = connections
        self.cold_start_s = cold_start_s
        self.health_path = health_path
        self.load_path = load_path

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Announcement):
            return NotImplemented
        return all(getattr(self, n) == getattr(other, n) for n in self.__slots__)
