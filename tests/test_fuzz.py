"""Fuzz tests: untrusted input is accepted or raises a typed error, nothing else."""

import tempfile
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest
import tomli_w
from hypothesis import example, given, strategies as st

from builders import make_settings_table
from builders_wire import make_identity
from heathermount.clocks import ManualClock
from heathermount.config.api_keys import parse_key
from heathermount.config.declaration import Declaration
from heathermount.config.documents import (
    Change,
    FleetDocument,
    decode_change,
    decode_document,
    decode_head,
    decode_snapshot,
)
from heathermount.config.policy import Policy
from heathermount.config.settings import Settings
from heathermount.errors import HeathermountError, InvalidMessage, Refusal
from heathermount.events import EventLog
from heathermount.membership import RosterRecord
from heathermount.node.metrics import Metrics
from heathermount.node.observe_app import ObserveApp
from heathermount.ownership import decode_record
from heathermount.wire.control import METHODS_BY_REQUEST, MsgpackCodec, check_token
from heathermount.wire.frames import FrameKind, FrameStream, decode_body, encode_frame
from heathermount.wire.handshake import HELLO_DECODER, perform_handshake
from heathermount.wire.link import REJECTION_DECODER
from heathermount.wire.server import MESSAGE_DECODER

# For deep nesting, decoders raise RecursionError, which is not a MsgspecError.
NESTED_ARRAYS = b"\x91" * 100_000 + b"\xc0"
NESTED_MAPS = b"\x81\xa1a" * 100_000 + b"\xc0"

# Values with types that decoders expect, so that random input passes their first
# check.
random_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.binary(max_size=20)
    | st.text(max_size=20),
    lambda children: (
        st.lists(children, max_size=6)
        | st.dictionaries(st.text(max_size=8), children, max_size=4)
    ),
    max_leaves=20,
)
random_messages = st.binary(max_size=300) | random_values.map(msgspec.msgpack.encode)


def corrupt(message: Any) -> st.SearchStrategy[bytes]:
    """Return a valid message with some of its bytes removed, replaced or repeated."""
    data = msgspec.msgpack.encode(message)
    return st.tuples(
        st.integers(0, len(data)), st.binary(max_size=3), st.integers(0, len(data))
    ).map(lambda splice: data[: splice[0]] + splice[1] + data[splice[2] :])


CHANGE = Change(2, "b", "a", "anna", "note", 1.0, {"routes/x": {"name": "x"}}, ["y"])
DOCUMENT = FleetDocument(1, "a", {"defaults": {}}, [(1, "a")], "anna")


class ChunkStream:
    """A byte stream that returns the given chunks and then ends."""

    def __init__(self, chunks: list[bytes]) -> None:
        self._chunks = [chunk for chunk in chunks if chunk]

    async def receive(self, max_bytes: int = 65536) -> bytes:
        if not self._chunks:
            raise anyio.EndOfStream
        return self._chunks.pop(0)

    async def send(self, item: bytes) -> None:
        return None


@given(st.lists(st.binary(max_size=40), max_size=20))
@example([b"\xff" * 13])
def test_random_frames(chunks: list[bytes]) -> None:
    """Guards against bytes on a link that end its task with an untyped error."""
    stream: Any = ChunkStream(chunks)

    async def read() -> None:
        frames = FrameStream(stream)
        with pytest.raises((InvalidMessage, anyio.EndOfStream)):
            while True:
                await frames.read()

    anyio.run(read)


@given(st.lists(random_messages, max_size=3))
def test_random_handshake_bodies(bodies: list[bytes]) -> None:
    """Guards against an unauthenticated peer that stops a listener."""
    stream: Any = ChunkStream(
        [encode_frame(0, FrameKind.REQUEST, body) for body in bodies]
    )

    async def run_handshake() -> None:
        with pytest.raises((HeathermountError, anyio.EndOfStream)):
            await perform_handshake(
                FrameStream(stream), make_identity("pantry-1"), False
            )

    anyio.run(run_handshake)


def decode_control(data: bytes) -> None:
    for request_type, (_, reply_type) in METHODS_BY_REQUEST.items():
        for kind in (request_type, reply_type):
            MsgpackCodec().decode(data, kind)


DECODERS: dict[str, Callable[[bytes], Any]] = {
    "message": lambda data: decode_body(MESSAGE_DECODER, data),
    "hello": lambda data: decode_body(HELLO_DECODER, data),
    "rejection": lambda data: decode_body(REJECTION_DECODER, data),
    "control": decode_control,
    "change": decode_change,
    "document": decode_document,
    "head": decode_head,
    "snapshot": decode_snapshot,
    "owner": decode_record,
    "roster": RosterRecord.decode,
}


@pytest.mark.parametrize("decode", DECODERS.values(), ids=DECODERS.keys())
@given(data=random_messages | corrupt(CHANGE) | corrupt(DOCUMENT))
@example(data=NESTED_ARRAYS)
@example(
    data=b"\x98\x02\xa1b\xa1a\xa0\xa0\xcb" + bytes(8) + b"\x81\xa1x" + NESTED_ARRAYS
)
@example(data=b"\x95\x01\xa1a\x81\xa1x" + NESTED_ARRAYS)
@example(data=NESTED_MAPS)
def test_random_encoded_messages(decode: Callable[[bytes], Any], data: bytes) -> None:
    """Guards against a malformed record or message that stops the node reading it."""
    with suppress(InvalidMessage):
        decode(data)


random_tables = st.dictionaries(
    st.sampled_from(
        ["node", "listen", "store", "security", "limits", "version", "defaults"]
        + ["failure_domains", "routes", "organisations", "exceptions", "x"]
    ),
    st.recursive(
        st.booleans()
        | st.integers(-(2**40), 2**40)
        | st.floats()
        | st.text(max_size=9),
        lambda children: (
            st.lists(children, max_size=3)
            | st.dictionaries(
                st.sampled_from(["name", "service", "path", "id", "rate", "burst"])
                | st.text(max_size=5),
                children,
                max_size=4,
            )
        ),
        max_leaves=12,
    ),
    max_size=6,
)


def check_errors_are_typed(read: Callable[[], Any]) -> None:
    """Accept a result, or a group that contains typed errors only."""
    try:
        read()
    except ExceptionGroup as group:
        _, others = group.split(HeathermountError)
        assert others is None


@given(random_tables)
@example({"node": {"name": "\ud800"}})
def test_random_configuration_tables(table: dict[str, Any]) -> None:
    """Guards against an invalid value in a file that stops the check of the rest."""
    check_errors_are_typed(
        lambda: Settings.from_config(make_settings_table(**table), "x")
    )
    declaration = {"version": 1, "failure_domains": ["a"]} | table
    check_errors_are_typed(lambda: Declaration.from_config(declaration, "x"))


SETTINGS_TEXT = tomli_w.dumps(make_settings_table()).encode()


@given(
    st.binary(max_size=200)
    | st.tuples(st.integers(0, len(SETTINGS_TEXT)), st.binary(max_size=9)).map(
        lambda splice: (
            SETTINGS_TEXT[: splice[0]] + splice[1] + SETTINGS_TEXT[splice[0] :]
        )
    )
)
@example(b"x = " + b"[" * 20_000)
@example(b"x = " + b"9" * 5_000)
@example(b"[store]\nendpoint = '127.0.0.1:\xc2\xb2'")
@example(b"[peers]\nseeds = ['127.0.0.1:" + b"9" * 5_000 + b"']")
def test_random_configuration_files(data: bytes) -> None:
    """Guards against a damaged file that stops the start without an explanation."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "file.toml"
        path.write_bytes(data)
        check_errors_are_typed(lambda: Settings.from_file(str(path)))
        check_errors_are_typed(lambda: Declaration.from_file(str(path)))


POLICY = Policy.from_config(
    FleetDocument(
        entries={
            "organisations/a": {"name": "a"},
            "routes/x": {"name": "x", "service": "s", "path": "/x", "open": True},
        }
    ),
    b"a secret of the test fleet",
)


@given(st.text(max_size=60) | st.text(max_size=40).map(lambda text: f"hm_{text}"))
@example("hm_a_\ud800")
@example("hm__")
def test_random_api_keys(key: str) -> None:
    """Guards against an API key in a header that is answered with status 500."""
    parse_key(key)
    with pytest.raises(Refusal):
        POLICY.authenticate(key)


@given(
    st.text(max_size=9), st.text(max_size=60) | st.from_regex(r"/x(/|%[0-9a-f]{2})*")
)
def test_random_request_paths(method: str, path: str) -> None:
    """Guards against a request line that is answered with status 500."""
    POLICY.match(method, path)


@given(st.text(max_size=80))
@example("9" * 5000 + ".a.b")
@example("²..")
def test_random_control_tokens(token: str) -> None:
    """Guards against a token of an unauthenticated peer that raises an exception."""
    assert not check_token(b"secret", "/status", ManualClock(), token)


CLOCK = ManualClock()
OBSERVE_APP = ObserveApp(Metrics(CLOCK), EventLog("a", CLOCK, quiet=True), list)


@given(st.binary(max_size=40).map(lambda query: b"since_us=" + query))
def test_random_timeline_queries(query: bytes) -> None:
    """Guards against a query that is answered with status 500."""
    scope = {
        "type": "http",
        "method": "GET",
        "path": "/timeline",
        "query_string": query,
    }
    assert OBSERVE_APP._make_response(scope)[0] in (200, 400)
