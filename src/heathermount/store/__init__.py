"""Client of the platform's key-value service."""

from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
from heathermount.store.counted import CountedStore
from heathermount.store.etcd import EtcdStore
from heathermount.store.interface import Store, Versioned

__all__ = [
    "CountedStore",
    "EtcdStore",
    "Store",
    "StoreOutcomeUnknown",
    "StoreUnavailable",
    "Versioned",
]
