"""API keys of organisations, in the form `hm_<id>_<secret>`."""

import hashlib
import secrets
from typing import Final, NamedTuple

__all__ = ["ParsedKey", "generate_key", "hash_secret", "parse_key"]

KEY_PREFIX: Final = "hm"
KEY_ID_BYTES: Final = 6
KEY_SECRET_BYTES: Final = 24
# BLAKE2b accepts keys of at most 64 bytes.
MAX_BLAKE2B_KEY_BYTES: Final = 64


class ParsedKey(NamedTuple):
    """Public identifier and secret of an API key."""

    key_id: str
    secret: str


def generate_key() -> str:
    """Return a new random key."""
    key_id = secrets.token_hex(KEY_ID_BYTES)
    return f"{KEY_PREFIX}_{key_id}_{secrets.token_urlsafe(KEY_SECRET_BYTES)}"


def parse_key(key: str) -> ParsedKey | None:
    """Split a key into its parts; return None if it is malformed."""
    prefix, _, rest = key.partition("_")
    key_id, _, secret = rest.partition("_")
    if prefix != KEY_PREFIX or not key_id or not secret:
        return None
    return ParsedKey(key_id, secret)


def hash_secret(secret: str, fleet_secret: bytes) -> bytes:
    """Return the BLAKE2b hash of an API key's secret, keyed with the fleet secret."""
    hash_key = fleet_secret
    if len(hash_key) > MAX_BLAKE2B_KEY_BYTES:
        hash_key = hashlib.blake2b(fleet_secret).digest()
    data = secret.encode(errors="surrogatepass")
    return hashlib.blake2b(data, key=hash_key, digest_size=32).digest()
