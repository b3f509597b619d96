"""Settings of a node and the fleet's declaration."""

from heathermount.config.declaration import Declaration
from heathermount.config.documents import (
    Change,
    FleetDocument,
    decode_change,
    decode_document,
    diff_entries,
    encode_message,
)
from heathermount.config.policy import Allotment, KeyOwner, Policy, Route, Treatment
from heathermount.config.settings import Settings, StoreSettings
from heathermount.config.tracker import ConfigTracker

__all__ = [
    "Allotment",
    "Change",
    "ConfigTracker",
    "Declaration",
    "FleetDocument",
    "KeyOwner",
    "Policy",
    "Route",
    "Settings",
    "StoreSettings",
    "Treatment",
    "decode_change",
    "decode_document",
    "diff_entries",
    "encode_message",
]
