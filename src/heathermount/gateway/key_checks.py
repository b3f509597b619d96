"""Second check of a request's key, just before the request is sent."""

from heathermount.gateway.configuration_tracker import ConfigurationTracker
from heathermount.gateway.messages import Execute
from heathermount.gateway.refusals import make_refusal
from heathermount.values import Outcome, Reason

__all__ = ["recheck_key"]


def recheck_key(tracker: ConfigurationTracker, message: Execute) -> None:
    """Raise Refusal if the key of a request may have been withdrawn meanwhile."""
    if not message.key_digest:
        return
    policy = tracker.policy
    if policy is None or not tracker.is_fresh():
        raise make_refusal(Reason.CONFIGURATION_STALE, Outcome.NOT_RUN)
    # The entry node may have a newer configuration than this node. That one was
    # written after this node last confirmed its own, so its authentication is
    # recent enough.
    if message.configuration_version > policy.version:
        return
    if policy.find_key_owner(message.key_digest) != message.organisation:
        raise make_refusal(Reason.KEY_WITHDRAWN, Outcome.NOT_RUN)
