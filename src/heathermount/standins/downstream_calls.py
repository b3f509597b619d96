"""Calls that a backend server stand-in makes to downstream services."""

import zlib

import msgspec

from heathermount.standins.http_client import HttpResponse
from heathermount.standins.records import (
    DownstreamResult,
    ResponseBody,
    decode_response_body,
)

__all__ = ["encode_downstream_body", "is_call_selected", "record_downstream_response"]


def encode_downstream_body(test_id: str) -> bytes:
    return msgspec.json.encode({"test_id": test_id})


def is_call_selected(test_id: str, index: int, share: float) -> bool:
    """Choose by a hash of the test identifier, so that a seeded run is repeatable."""
    return zlib.crc32(f"{test_id}#{index}".encode()) / 2**32 < share


def record_downstream_response(
    result: DownstreamResult, received: HttpResponse, caller_body: ResponseBody
) -> None:
    """Store a downstream response in the result and the caller's response body."""
    result.status = received.status
    result.outcome = received.text_header(b"heathermount-outcome")
    result.reason = received.text_header(b"heathermount-reason")
    if not 200 <= received.status < 300:
        return
    downstream_body = decode_response_body(received.body)
    result.whole = (
        downstream_body is not None
        and downstream_body.test_id == result.test_id
        and downstream_body.organisation == caller_body.organisation
    )
    if downstream_body is not None:
        caller_body.visited.extend(downstream_body.visited)
