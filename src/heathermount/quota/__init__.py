"""Rate and burst limits: allocators grant tokens, wallets spend them."""

from heathermount.quota.allocator import Allocator
from heathermount.quota.client import QuotaClient
from heathermount.quota.mailbox import Ask
from heathermount.quota.shares import (
    Allotment,
    Share,
    divide,
    partition_of,
    share_domains,
)
from heathermount.quota.wallet import Token, Wallet

__all__ = [
    "Allocator",
    "Allotment",
    "Ask",
    "QuotaClient",
    "Share",
    "Token",
    "Wallet",
    "divide",
    "partition_of",
    "share_domains",
]
