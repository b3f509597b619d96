"""Counters of messages and bytes on the links between nodes."""

from collections.abc import Iterator

__all__ = ["TrafficCounters"]


class TrafficCounters:
    """Messages and bytes, split into the data path and control traffic.

    The data path consists of Execute and its Answer; everything else is control
    overhead.
    """

    __slots__ = (
        "control_bytes_received",
        "control_bytes_sent",
        "control_received",
        "control_sent",
        "data_bytes_received",
        "data_bytes_sent",
        "data_received",
        "data_sent",
        "late_answers",
    )

    def __init__(self) -> None:
        for name in self.__slots__:
            setattr(self, name, 0)

    control_bytes_received: int
    control_bytes_sent: int
    control_received: int
    control_sent: int
    data_bytes_received: int
    data_bytes_sent: int
    data_received: int
    data_sent: int
    # Answers that arrived after their caller had stopped waiting.
    late_answers: int

    def count_sent(self, size_bytes: int, is_data_path: bool) -> None:
        if is_data_path:
            self.data_sent += 1
            self.data_bytes_sent += size_bytes
        else:
            self.control_sent += 1
            self.control_bytes_sent += size_bytes

    def count_received(self, size_bytes: int, is_data_path: bool) -> None:
        if is_data_path:
            self.data_received += 1
            self.data_bytes_received += size_bytes
        else:
            self.control_received += 1
            self.control_bytes_received += size_bytes

    def iterate_totals(self) -> Iterator[tuple[tuple[str, str], int, int]]:
        """Yield ((use, direction), messages, bytes); use is control or data."""
        for use in ("control", "data"):
            for direction in ("sent", "received"):
                messages: int = getattr(self, f"{use}_{direction}")
                size: int = getattr(self, f"{use}_bytes_{direction}")
                yield (use, direction), messages, size
