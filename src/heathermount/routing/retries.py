"""Limits on retries: a budget per service and an allowance per root request."""

from typing import Final

from heathermount.clocks import Clock

__all__ = ["AttemptBudget", "RetryBudget"]

# Each success adds this much to the retry budget.
RETRIES_PER_SUCCESS: Final = 0.1

# Retries per second that are always allowed, so that calls to a service without
# recent successes are still retried.
MIN_RETRIES_PER_S: Final = 1.0

# Maximum of unspent retries: enough for all requests that run at one server when
# it is lost (servers of the example fleets have up to 140 slots).
MAX_SAVED_RETRIES: Final = 150.0

# Unspent retries at the start.
INITIAL_RETRIES: Final = 10.0


class ServiceBudget:
    """Number of retries that one service has left."""

    __slots__ = ("available", "updated_at")

    def __init__(self, now: float) -> None:
        self.available = INITIAL_RETRIES
        self.updated_at = now


class RetryBudget:
    """Limits retries per service to 10% of its successes plus one per second.

    In any period, retries <= 0.1 * successes + seconds + unspent retries at the
    start of the period (at most 150).
    """

    __slots__ = ("_budgets", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._budgets: dict[str, ServiceBudget] = {}

    def record_success(self, service: str) -> None:
        """Count a successful first attempt or retry."""
        budget = self._get_budget(service)
        budget.available = min(
            MAX_SAVED_RETRIES, budget.available + RETRIES_PER_SUCCESS
        )

    def try_spend(self, service: str) -> bool:
        """Spend one retry; return false if the budget is exhausted."""
        now = self._clock.monotonic()
        budget = self._get_budget(service)
        elapsed_s = now - budget.updated_at
        budget.updated_at = now
        budget.available = min(
            MAX_SAVED_RETRIES, budget.available + elapsed_s * MIN_RETRIES_PER_S
        )
        if budget.available < 1.0:
            return False
        budget.available -= 1.0
        return True

    def _get_budget(self, service: str) -> ServiceBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = ServiceBudget(self._clock.monotonic())
            self._budgets[service] = budget
        return budget


class AttemptBudget:
    """Extra attempts that one request may spend at this node and downstream.

    Remaining, reserved and used attempts always add up to `allowance`, so that
    the extra attempts over the whole call tree never exceed the root's allowance.
    Before a child call is sent, half of the remaining attempts, rounded up, are
    reserved for it. Its answer tells how many of them it used; if no answer
    arrives, all of them count as used. The other half is left for concurrent
    child calls, and for a retry when the child's node is lost together with its
    reservation.

    For each child call, a node calls `reserve`, sends the call with the reserved
    number as its allowance, calls `end_reservation` with the number that the
    answer reports, and calls `try_spend` before each further attempt. The node
    reports `spent` in its own answer.
    """

    __slots__ = ("_reserved", "allowance", "remaining")

    def __init__(self, allowance: int) -> None:
        self.allowance = max(0, allowance)
        self.remaining = self.allowance
        self._reserved = 0

    @property
    def spent(self) -> int:
        """Attempts spent here and downstream; reserved attempts count as spent."""
        return self.allowance - self.remaining

    def try_spend(self) -> bool:
        """Spend one extra attempt; return false if none remains."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True

    def record_spent(self, spent: int) -> None:
        """Deduct attempts that a child call without a reservation reports."""
        self.remaining = max(0, self.remaining - max(0, spent))

    def reserve(self) -> int:
        """Reserve attempts for one child call and return their number."""
        reserved = (self.remaining + 1) // 2
        self.remaining -= reserved
        self._reserved += reserved
        return reserved

    def end_reservation(self, reserved: int, spent: int | None) -> None:
        """End a reservation; `spent` is None if no answer arrived."""
        self._reserved -= reserved
        if spent is not None:
            self.remaining += max(0, reserved - max(0, spent))
