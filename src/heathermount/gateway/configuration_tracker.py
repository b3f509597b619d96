"""The newest configuration that a gateway node knows, and its freshness."""

import math
from typing import Final

import msgspec
from absl import logging

from heathermount.clocks import Clock
from heathermount.gateway.configuration_document import GatewayDocument, GatewayPolicy

__all__ = ["ConfigurationTracker"]

DOCUMENT_DECODER: Final = msgspec.msgpack.Decoder(GatewayDocument)


class ConfigurationTracker:
    """Holds the newest known configuration; versions never go back.

    `confirmed_at` is the latest time at which the version is known to have been
    the newest. Its clock keeps running while the machine is suspended.
    `freshness_s` is the age of this confirmation up to which the configuration
    counts as fresh. `propagation_s` is the time within which a change has to be in
    force; an older confirmation is overdue.
    """

    __slots__ = (
        "_clock",
        "applied_at",
        "confirmed_at",
        "encoded_document",
        "freshness_s",
        "longest_age_s",
        "overdue_confirmations",
        "policy",
        "propagation_s",
    )

    def __init__(self, clock: Clock, freshness_s: float, propagation_s: float) -> None:
        self._clock = clock
        self.freshness_s = freshness_s
        self.propagation_s = propagation_s
        self.policy: GatewayPolicy | None = None
        self.applied_at = float("-inf")
        self.confirmed_at = float("-inf")
        self.encoded_document = b""
        # Highest age of the configuration before a confirmation, and the number of
        # confirmations that were overdue.
        self.longest_age_s = 0.0
        self.overdue_confirmations = 0

    @property
    def update_bound_s(self) -> float:
        """Age of the confirmation, in seconds, before which a node has to renew it."""
        return min(self.freshness_s, self.propagation_s)

    @property
    def version(self) -> int:
        return self.policy.version if self.policy is not None else 0

    def age_s(self) -> float:
        """Return the time since the version was last known to be the newest."""
        return self._clock.monotonic() - self.confirmed_at

    def is_fresh(self) -> bool:
        """Whether no key revocation can have been missed for too long."""
        return self.age_s() <= self.freshness_s

    def is_current(self) -> bool:
        """Whether no change can have been missed for too long."""
        return self.age_s() <= self.update_bound_s

    def read_gauges(self) -> dict[str, float]:
        """Return the values of the metrics, by name."""
        return {
            "configuration_version": float(self.version),
            "configuration_age_seconds": self.age_s(),
            "configuration_longest_age_seconds": self.longest_age_s,
            "configuration_overdue": float(self.overdue_confirmations),
        }

    def apply(self, document: GatewayDocument, source: str) -> bool:
        """Apply a configuration; return False if it is not newer."""
        if document.version <= self.version:
            return False
        logging.info(
            "event=configuration-applied version=%d previous=%d source=%s routes=%d "
            "age_s=%.2f",
            document.version,
            self.version,
            source,
            len(document.routes),
            self.age_s(),
        )
        self.policy = GatewayPolicy.from_config(document)
        self.applied_at = self._clock.monotonic()
        self.encoded_document = msgspec.msgpack.encode(document)
        return True

    def confirm(self, confirmed_at: float) -> None:
        """Record that the version was the newest at `confirmed_at`."""
        if confirmed_at <= self.confirmed_at:
            return
        if self.policy is not None and math.isfinite(self.confirmed_at):
            self._record_age(self.age_s())
        self.confirmed_at = confirmed_at

    def _record_age(self, age_s: float) -> None:
        """Record the age of a confirmation that is replaced by a newer one."""
        self.longest_age_s = max(self.longest_age_s, age_s)
        if age_s <= self.propagation_s:
            return
        self.overdue_confirmations += 1
        logging.warning(
            "event=configuration-overdue age_s=%.2f bound_s=%.2f version=%d "
            "applied_s=%.2f",
            age_s,
            self.propagation_s,
            self.version,
            self._clock.monotonic() - self.applied_at,
        )

    def update_from_peer(
        self, version: int, age_s: float, sent_at: float, encoded_document: bytes
    ) -> None:
        """Apply a peer's pong to a ping sent at `sent_at`.

        `age_s` is the age of the peer's confirmation when it sent the pong. Counted
        back from `sent_at`, it never yields too late a time. `encoded_document` is
        empty unless the peer pushes a newer configuration.
        """
        if encoded_document:
            try:
                self.apply(DOCUMENT_DECODER.decode(encoded_document), "peer")
            except (msgspec.MsgspecError, RecursionError) as error:
                logging.warning('event=configuration-malformed error="%s"', error)
                return
        if version == self.version:
            self.confirm(sent_at - age_s)
