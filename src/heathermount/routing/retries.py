"""Bounds on retries: budget per service and allowance per root request."""

from typing import Final

from heathermount.clocks import Clock

__all__ = ["AttemptLedger", "RetryBudget"]

# Share of the successes that may be spent on retries.
SHARE: Final = 0.1

# Retries per second that are always allowed, so that a service without recent
# successes is still retried.
FLOOR_PER_S: Final = 1.0

# Most retries that may be saved up: enough for all requests that run at one
# server when it is lost (Kettering and Cancelli have up to 140 slots).
MAX_SAVED: Final = 150.0

# Saved retries at the start.
INITIAL: Final = 10.0


class Account:
    """Retries of one service that may be spent now."""

    __slots__ = ("balance", "updated_at")

    def __init__(self, now: float) -> None:
        self.balance = INITIAL
        self.updated_at = now


class RetryBudget:
    """Limits retries per service to 10% of its successes plus 1/s.

    In any period, retries <= 0.1 * successes + seconds + what was saved up
    (at most 150).
    """

    __slots__ = ("_accounts", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._accounts: dict[str, Account] = {}

    def succeeded(self, service: str) -> None:
        """Count a success of a first attempt or of a retry."""
        account = self._account(service)
        account.balance = min(MAX_SAVED, account.balance + SHARE)

    def take(self, service: str) -> bool:
        """Spend one retry; false when the budget is exhausted."""
        now = self._clock.monotonic()
        account = self._account(service)
        elapsed_s = now - account.updated_at
        account.updated_at = now
        account.balance = min(MAX_SAVED, account.balance + elapsed_s * FLOOR_PER_S)
        if account.balance < 1.0:
            return False
        account.balance -= 1.0
        return True

    def _account(self, service: str) -> Account:
        account = self._accounts.get(service)
        if account is None:
            account = Account(self._clock.monotonic())
            self._accounts[service] = account
        return account


class AttemptLedger:
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

    __slots__ = ("_lent", "allowance", "remaining")

    def __init__(self, allowance: int) -> None:
        self.allowance = max(0, allowance)
        self.remaining = self.allowance
        self._lent = 0

    @property
    def spent(self) -> int:
        """Attempts spent here and below; open loans count as spent."""
        return self.allowance - self.remaining

    def take(self) -> bool:
        """Spend one extra attempt; false when none remains."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True

    def charge(self, spent: int) -> None:
        """Spend attempts that a child without a loan reports."""
        self.remaining = max(0, self.remaining - max(0, spent))

    def lend(self) -> int:
        """Reserve attempts for one child call and return how many."""
        loan = (self.remaining + 1) // 2
        self.remaining -= loan
        self._lent += loan
        return loan

    def settle(self, loan: int, spent: int | None) -> None:
        """End a loan; `spent` is None when no answer came."""
        self._lent -= loan
        if spent is not None:
            self.remaining += max(0, loan - max(0, spent))
