"""Rate limits: allocators grant tokens, entry nodes cache and spend them."""

from heathermount.quota.allocator import Allocator
from heathermount.quota.client import QuotaClient
from heathermount.quota.request_batcher import AskAllocator
from heathermount.quota.shares import (
    Allotment,
    Share,
    divide_allotment,
    get_partition_name,
    select_share_domains,
)
from heathermount.quota.token_cache import Token, TokenCache

__all__ = [
    "Allocator",
    "Allotment",
    "AskAllocator",
    "QuotaClient",
    "Share",
    "Token",
    "TokenCache",
    "divide_allotment",
    "get_partition_name",
    "select_share_domains",
]
