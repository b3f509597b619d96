"""Routing: which server runs a request, and which requests are retried."""

from heathermount.routing.balancer import Balancer, NoServer
from heathermount.routing.members import Member
from heathermount.routing.quarantine import Quarantine, choose_trial_member
from heathermount.routing.resends import Arrival, ResendTracker, compute_fingerprint
from heathermount.routing.retries import AttemptBudget, RetryBudget

__all__ = [
    "Arrival",
    "AttemptBudget",
    "Balancer",
    "Member",
    "NoServer",
    "Quarantine",
    "ResendTracker",
    "RetryBudget",
    "choose_trial_member",
    "compute_fingerprint",
]
