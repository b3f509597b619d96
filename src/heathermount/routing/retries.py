"""Bounds on retries: budget per service and allowance per root request."""

from typing import Final

from heathermount.clocks import Clock

__all__ = ["AttemptBudget", "RetryBudget"]

# Share of the successes that may be spent on retries.
RETRIES_PER_SUCCESS: Final = 0.1

# Retries per second that are always allowed, so that a service without recent
# successes is still retried.
MIN_RETRIES_PER_S: Final = 1.0

# Most retries that may be saved up: enough for all requests that run at one
# server when it is lost (Kettering and Cancelli have up to 140 slots).
MAX_SAVED_RETRIES: Final = 150.0

# Saved retries at the start.
INITIAL_RETRIES: Final = 10.0


class ServiceBudget:
    """Retries of one service that may be spent now."""

    __slots__ = ("available", "updated_at")

    def __init__(self, now: float) -> None:
        self.available = INITIAL_RETRIES
        self.updated_at = now


class RetryBudget:
    """Limits retries per service to 10% of its successes plus 1/s.

    In any period, retries <= 0.1 * successes + seconds + what was saved up
    (at most 150).
    """

    __slots__ = ("_budgets", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._budgets: dict[str, ServiceBudget] = {}

    def record_success(self, service: str) -> None:
        """Count a success of a first attempt or of a retry."""
        budget = self._get_budget(service)
        budget.available = min(
            MAX_SAVED_RETRIES, budget.available + RETRIES_PER_SUCCESS
        )

    def try_spend(self, service: str) -> bool:
        """Spend one retry; false when the budget is exhausted."""
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
    """Extra attempts that one request may spend at this node and below.

    `remaining + lent + used == allowance` always holds, so that the extra
    attempts over the whole tree never exceed the root's allowance. A child call
    gets a loan before it is sent; what it may spend is reserved until its
    answer tells what it did spend. When no answer comes, the loan counts as
    spent. A loan is half of the remaining attempts, rounded up: the other half
    stays for concurrent children, and for a retry when the child's node is
    lost with its loan.

    The order at a node is: `lend`, send the child with the loan as its
    allowance, `settle` with what its answer reports, then `take` before each
    further attempt. The node reports `spent` with its own answer.
    """

    __slots__ = ("_reserved", "allowance", "remaining")

    def __init__(self, allowance: int) -> None:
        self.allowance = max(0, allowance)
        self.remaining = self.allowance
        self._reserved = 0

    @property
    def spent(self) -> int:
        """Attempts spent here and below; open loans count as spent."""
        return self.allowance - self.remaining

    def try_spend(self) -> bool:
        """Spend one extra attempt; false when none remains."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True

    def record_spent(self, spent: int) -> None:
        """Spend attempts that a child without a loan reports."""
        self.remaining = max(0, self.remaining - max(0, spent))

    def reserve(self) -> int:
        """Reserve attempts for one child call and return how many."""
        reserved = (self.remaining + 1) // 2
        self.remaining -= reserved
        self._reserved += reserved
        return reserved

    def end_reservation(self, reserved: int, spent: int | None) -> None:
        """End a loan; `spent` is None when no answer came."""
        self._reserved -= reserved
        if spent is not None:
            self.remaining += max(0, reserved - max(0, spent))
