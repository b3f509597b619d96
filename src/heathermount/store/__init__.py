"""Client of the platform's key-value service."""

from typing import TYPE_CHECKING

from heathermount.lazy_exports import make_lazy_exports

if TYPE_CHECKING:
    from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
    from heathermount.store.counting import CountingStore
    from heathermount.store.etcd import EtcdStore
    from heathermount.store.interface import Store, Versioned

__all__ = [
    "CountingStore",
    "EtcdStore",
    "Store",
    "StoreOutcomeUnknown",
    "StoreUnavailable",
    "Versioned",
]

__getattr__ = make_lazy_exports(
    __name__,
    {
        "heathermount.errors": ["StoreOutcomeUnknown", "StoreUnavailable"],
        "heathermount.store.counting": ["CountingStore"],
        "heathermount.store.etcd": ["EtcdStore"],
        "heathermount.store.interface": ["Store", "Versioned"],
    },
)
