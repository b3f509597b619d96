"""Node settings, the fleet configuration document and the policy built from it."""

from typing import TYPE_CHECKING

from heathermount.lazy_exports import make_lazy_exports

if TYPE_CHECKING:
    from heathermount.config.declaration import Declaration
    from heathermount.config.documents import (
        Change,
        FleetDocument,
        decode_change,
        decode_document,
        diff_entries,
        encode_message,
    )
    from heathermount.config.policy import (
        CallPolicy,
        KeyOwner,
        OrganisationLimits,
        Policy,
        Route,
    )
    from heathermount.config.settings import Settings, StoreSettings
    from heathermount.config.tracker import ConfigTracker

__all__ = [
    "CallPolicy",
    "Change",
    "ConfigTracker",
    "Declaration",
    "FleetDocument",
    "KeyOwner",
    "OrganisationLimits",
    "Policy",
    "Route",
    "Settings",
    "StoreSettings",
    "decode_change",
    "decode_document",
    "diff_entries",
    "encode_message",
]

__getattr__ = make_lazy_exports(
    __name__,
    {
        "heathermount.config.declaration": ["Declaration"],
        "heathermount.config.documents": [
            "Change",
            "FleetDocument",
            "decode_change",
            "decode_document",
            "diff_entries",
            "encode_message",
        ],
        "heathermount.config.policy": [
            "OrganisationLimits",
            "KeyOwner",
            "Policy",
            "Route",
            "CallPolicy",
        ],
        "heathermount.config.settings": ["Settings", "StoreSettings"],
        "heathermount.config.tracker": ["ConfigTracker"],
    },
)
