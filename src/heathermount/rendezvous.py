"""Rendezvous hashing: nodes with the same membership view make the same choice."""

from hashlib import blake2b

__all__ = ["compute_rank"]


def compute_rank(key: str, node: str) -> bytes:
    """Return the rank of a node for a key; the node with the lowest rank is first.

    A node that joins or leaves does not change the order of the others.
    """
    return blake2b(f"{key}/{node}".encode(), digest_size=8).digest()
