"""Any bytes from outside end in a typed error, never in another exception."""

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
from heathermount.node.observer import Observer
from heathermount.ownership import decode_record
from heathermount.wire.control import METHODS, MsgpackCodec, check_token
from heathermount.wire.frames import FrameKind, FrameStream, decode_body, frame
from heathermount.wire.handshake import HELLO_DECODER, shake_hands
from heathermount.wire.link import REJECTION_DECODER
from heathermount.wire.server import MESSAGE_DECODER

# Deep nesting ends decoders with a RecursionError, which is no MsgspecError.
NESTED = b"\x91" * 100_000 + b"\xc0"
NESTED_MAP = b"\x81\xa1a" * 100_000 + b"\xc0"

# Values of the shapes that decoders expect, so that random input gets past
# their first check.
values = st.recursive(
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
packed = st.binary(max_size=300) | values.map(msgspec.msgpack.encode)


def truncate(message: Any) -> st.SearchStrategy[bytes]:
    """Return a valid message with bytes removed and replaced."""
    data = msgspec.msgpack.encode(message)
    return st.tuples(
        st.integers(0, len(data)), st.binary(max_size=3), st.integers(0, len(data))
    ).map(lambda cut: data[: cut[0]] + cut[1] + data[cut[2] :])


CHANGE = Change(2, "b", "a", "anna", "note", 1.0, {"routes/x": {"name": "x"}}, ["y"])
DOCUMENT = FleetDocument(1, "a", {"defaults": {}}, [(1, "a")], "anna")


class MemoryStream:
    """A byte stream that gives some chunks and then ends."""

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
def test_frame_reader(chunks: list[bytes]) -> None:
    """Guards against bytes on a link that end the task of the connection untyped."""
    stream: Any = MemoryStream(chunks)

    async def read() -> None:
        frames = FrameStream(stream)
        with pytest.raises((InvalidMessage, anyio.EndOfStream)):
            while True:
                await frames.read()

    anyio.run(read)


@given(st.lists(packed, max_size=3))
def test_handshake(bodies: list[bytes]) -> None:
    """Guards against an unauthenticated peer that ends a listener."""
    stream: Any = MemoryStream([frame(0, FrameKind.REQUEST, body) for body in bodies])

    async def shake() -> None:
        with pytest.raises((HeathermountError, anyio.EndOfStream)):
            await shake_hands(FrameStream(stream), make_identity("pantry-1"), False)

    anyio.run(shake)


def decode_control(data: bytes) -> None:
    for request_type, (_, reply_type) in METHODS.items():
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
@given(data=packed | truncate(CHANGE) | truncate(DOCUMENT))
@example(data=NESTED)
@example(data=b"\x98\x02\xa1b\xa1a\xa0\xa0\xcb" + bytes(8) + b"\x81\xa1x" + NESTED)
@example(data=b"\x95\x01\xa1a\x81\xa1x" + NESTED)
@example(data=NESTED_MAP)
def test_decoders(decode: Callable[[bytes], Any], data: bytes) -> None:
    """Guards against a record or message that ends a node which reads it."""
    with suppress(InvalidMessage):
        decode(data)


tables = st.dictionaries(
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


def check_problems(read: Callable[[], Any]) -> None:
    """Accept a result or a group that holds typed problems only."""
    try:
        read()
    except ExceptionGroup as group:
        _, others = group.split(HeathermountError)
        assert others is None


@given(tables)
@example({"node": {"name": "\ud800"}})
def test_tables(table: dict[str, Any]) -> None:
    """Guards against a wrong value in a file that ends the check of the others."""
    check_problems(lambda: Settings.from_config(make_settings_table(**table), "x"))
    declaration = {"version": 1, "failure_domains": ["a"]} | table
    check_problems(lambda: Declaration.from_config(declaration, "x"))


SETTINGS_TEXT = tomli_w.dumps(make_settings_table()).encode()


@given(
    st.binary(max_size=200)
    | st.tuples(st.integers(0, len(SETTINGS_TEXT)), st.binary(max_size=9)).map(
        lambda cut: SETTINGS_TEXT[: cut[0]] + cut[1] + SETTINGS_TEXT[cut[0] :]
    )
)
@example(b"x = " + b"[" * 20_000)
@example(b"x = " + b"9" * 5_000)
@example(b"[store]\nendpoint = '127.0.0.1:\xc2\xb2'")
@example(b"[peers]\nseeds = ['127.0.0.1:" + b"9" * 5_000 + b"']")
def test_files(data: bytes) -> None:
    """Guards against a damaged file that ends a start without an explanation."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "file.toml"
        path.write_bytes(data)
        check_problems(lambda: Settings.from_file(str(path)))
        check_problems(lambda: Declaration.from_file(str(path)))


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
def test_keys(key: str) -> None:
    """Guards against a header of a caller that ends in status 500."""
    parse_key(key)
    with pytest.raises(Refusal):
        POLICY.authenticate(key)


@given(
    st.text(max_size=9), st.text(max_size=60) | st.from_regex(r"/x(/|%[0-9a-f]{2})*")
)
def test_paths(method: str, path: str) -> None:
    """Guards against a request line that ends in status 500."""
    POLICY.match(method, path)


@given(st.text(max_size=80))
@example("9" * 5000 + ".a.b")
@example("²..")
def test_tokens(token: str) -> None:
    """Guards against a header of an unauthenticated peer that ends untyped."""
    assert not check_token(b"secret", "/status", ManualClock(), token)


CLOCK = ManualClock()
OBSERVER = Observer(Metrics(CLOCK), EventLog("a", CLOCK, quiet=True), list)


@given(st.binary(max_size=40).map(lambda query: b"since_us=" + query))
def test_observer_queries(query: bytes) -> None:
    """Guards against a query that ends in status 500."""
    scope = {
        "type": "http",
        "method": "GET",
        "path": "/timeline",
        "query_string": query,
    }
    assert OBSERVER._reply(scope)[0] in (200, 400)
