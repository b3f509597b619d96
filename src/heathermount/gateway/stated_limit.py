"""Request rate that the local backend server states in its responses."""

from heathermount.admission import AdmissionController, ServerRateLimit
from heathermount.gateway.announcements import Announcement
from heathermount.gateway.decision_log import DecisionLog
from heathermount.gateway.dialect import Dialect
from heathermount.gateway.http_server import find_header
from heathermount.values import Headers

__all__ = ["StatedLimit"]


class StatedLimit:
    """Passes the rate in each response on to admission, and logs its changes.

    Each start of a backend server has a limit of its own.
    """

    __slots__ = ("_dialect", "_log", "_stated_rate", "rate_limit", "requests_sent")

    def __init__(
        self, dialect: Dialect, log: DecisionLog, awaits_answer: bool = False
    ) -> None:
        self._dialect = dialect
        self._log = log
        # Requests per second in the latest response; None without a limit.
        self._stated_rate: float | None = None
        self.rate_limit = ServerRateLimit(awaits_answer)
        # The count at two changes of the limit shows the rate between them.
        self.requests_sent = 0

    def apply(
        self,
        headers: Headers,
        announcement: Announcement,
        admission: AdmissionController,
    ) -> None:
        """Apply the rate that a response of the announced server states, if any.

        A malformed rate changes nothing.
        """
        value = find_header(headers, self._dialect.server_limit)
        rate = self._dialect.parse_server_limit(value) if value else None
        if value and rate is None:
            self._log.record(
                "server-limit-malformed",
                server=announcement.server_id,
                value=value.decode("latin-1"),
            )
            return
        admission.update_rate_limit(rate)
        if rate == self._stated_rate:
            return
        self._log.record(
            "server-limit-changed",
            server=announcement.server_id,
            rate=format_rate(rate),
            former=format_rate(self._stated_rate),
            sent=self.requests_sent,
        )
        self._stated_rate = rate


def format_rate(rate: float | None) -> float | str:
    return "none" if rate is None else rate
