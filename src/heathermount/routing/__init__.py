"""Decisions where requests run, and which are sent again."""

from heathermount.routing.balancer import Balancer, NoServer
from heathermount.routing.members import Member
from heathermount.routing.quarantine import Quarantine, trial_member
from heathermount.routing.resends import Arrival, ResendTracker, fingerprint
from heathermount.routing.retries import AttemptLedger, RetryBudget

__all__ = [
    "Arrival",
    "AttemptLedger",
    "Balancer",
    "Member",
    "NoServer",
    "Quarantine",
    "ResendTracker",
    "RetryBudget",
    "fingerprint",
    "trial_member",
]
