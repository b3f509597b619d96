"""Calls that a backend server stand-in makes to deeper services."""

import zlib

import msgspec

from heathermount.standins.connections import HttpAnswer
from heathermount.standins.records import DeeperResult, ServerAnswer, decode_answer

__all__ = ["is_chosen", "make_deeper_body", "take_deeper_answer"]


def make_deeper_body(test_id: str) -> bytes:
    return msgspec.json.encode({"test_id": test_id})


def is_chosen(test_id: str, index: int, share: float) -> bool:
    """Choose by the test identifier, so that a repeated run calls the same."""
    return zlib.crc32(f"{test_id}#{index}".encode()) / 2**32 < share


def take_deeper_answer(
    result: DeeperResult, received: HttpAnswer, answer: ServerAnswer
) -> None:
    """Fold a deeper answer into the result and into the server's own answer."""
    result.status = received.status
    result.outcome = received.text_header(b"heathermount-outcome")
    result.reason = received.text_header(b"heathermount-reason")
    if not 200 <= received.status < 300:
        return
    deeper = decode_answer(received.body)
    result.whole = (
        deeper is not None
        and deeper.test_id == result.test_id
        and deeper.organisation == answer.organisation
    )
    if deeper is not None:
        answer.visited.extend(deeper.visited)
