"""Stand-in for a backend server on the platform, with fault injection."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from enum import Enum

from heathermount.standins.loopback_server import LoopbackServerStandIn

__all__ = ["Fault", "PlatformServerStandIn", "ServedRequest"]


class Fault(Enum):
    """What the server does wrong with a request."""

    NONE = "none"
    SHED = "shed"
    ERROR = "error"
    # Closes the connection in the middle of the response.
    TRUNCATED = "truncated"
    # Closes the connection after the first `cut_at` bytes of the response.
    CUT = "cut"
    # Sends another response, with a different request identifier, after the first.
    EXTRA = "extra"
    # Sends the response to another request before the right one.
    CROSSED = "crossed"
    # Sends the refusal of another request, which it names or not, before the response.
    REFUSAL_AGAIN = "refusal-again"
    REFUSAL_AGAIN_UNNAMED = "refusal-again-unnamed"
    # Sends a response without Content-Length, which ends with the connection.
    UNFRAMED = "unframed"
    # Like UNFRAMED, but resets the connection before the end of the response.
    UNFRAMED_RESET = "unframed-reset"
    # Executes the request and closes the connection without a response.
    LOST = "lost"
    # Sends bytes that are not HTTP.
    GARBAGE = "garbage"
    # Sends a response without X-Heathermount-Response-Stamp.
    UNSIGNED = "unsigned"


class ServedRequest:
    """A request that the server has executed."""

    __slots__ = ("body", "headers", "method", "target")

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def request_id(self) -> str:
        return self.headers.get("x-heathermount-request-id", "")

    @property
    def organisation(self) -> str:
        return self.headers.get("x-heathermount-tenant", "")


class PlatformServerStandIn(LoopbackServerStandIn):
    """A backend server that records requests and responds with injected faults.

    Each request takes the first entry of `faults`. If `work` is set, it is awaited
    for each request and returns the status; otherwise a request takes `work_s`
    seconds. `keep_alive` is the value of the Keep-Alive header, if any. `headers`
    are further headers of each answer. The body of an answer begins with `padding`.
    """

    def __init__(self, server_id: str, work_s: float = 0.0) -> None:
        super().__init__()
        self.server_id = server_id
        self.work_s = work_s
        self.work: Callable[[ServedRequest], Awaitable[int]] | None = None
        self.faults: list[Fault] = []
        self.served: list[ServedRequest] = []
        self.cancelled = 0
        self.keep_alive = ""
        self.headers: dict[str, str] = {}
        self.padding = b""
        self.cut_at = 0

    def make_heartbeat(
        self, service: str, slots: int, sequence: int, state: str, born_ms: int
    ) -> tuple[str, bytes]:
        """Return the request path and the body of a heartbeat."""
        body = {
            "Service": service,
            "Address": self.address,
            "Zone": "a",
            "Version": "v1",
            "Slots": slots,
            "State": state,
            "ColdRemaining": "0ms",
            "Sequence": sequence,
            "born": born_ms,
        }
        return f"/heathermount/instances/{self.server_id}", json.dumps(body).encode()

    def served_request_ids(self) -> list[str]:
        return [request.request_id for request in self.served]

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await self._handle_request(reader, writer):
            pass

    async def _handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request = await read_request(reader)
        fault = self.faults.pop(0) if self.faults else Fault.NONE
        expected = request.headers.get("x-heathermount-expected-instance")
        if expected not in (None, self.server_id):
            writer.write(make_response(421, request.request_id, b"", signed=False))
            return True
        if fault is Fault.SHED:
            not_executed = (
                "X-Heathermount-Not-Executed: 1\r\n" + self._format_extra_headers()
            )
            writer.write(
                make_response(503, request.request_id, b"", False, not_executed)
            )
            return True
        self.served.append(request)
        status = await self._execute(request, reader)
        return self._write_response(writer, request, fault, status)

    def _format_extra_headers(self) -> str:
        headers = dict(self.headers)
        if self.keep_alive:
            headers["Keep-Alive"] = self.keep_alive
        return "".join(f"{name}: {value}\r\n" for name, value in headers.items())

    async def _execute(
        self, request: ServedRequest, reader: asyncio.StreamReader
    ) -> int:
        if self.work is not None:
            return await self.work(request)
        connection_end = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait([connection_end], timeout=self.work_s)
        if done:
            self.cancelled += 1
            raise ConnectionResetError("the node has closed the connection")
        connection_end.cancel()
        await asyncio.wait([connection_end])
        return 200

    def _write_response(
        self,
        writer: asyncio.StreamWriter,
        request: ServedRequest,
        fault: Fault,
        status: int,
    ) -> bool:
        request_id = request.request_id
        body = self.padding + f"{self.server_id} {request.target}".encode()
        extra = self._format_extra_headers()
        response = make_response(status, request_id, body, True, extra)
        match fault:
            case Fault.ERROR:
                writer.write(make_response(500, request_id, b"failed", True, extra))
            case Fault.TRUNCATED:
                writer.write(response[:-3])
                return False
            case Fault.CUT:
                writer.write(response[: self.cut_at])
                return False
            case Fault.EXTRA:
                writer.write(response + make_response(200, "another", b"extra"))
            case Fault.CROSSED:
                writer.write(make_response(200, "another", b"other") + response)
            case Fault.REFUSAL_AGAIN:
                writer.write(make_refusal("another") + response)
            case Fault.REFUSAL_AGAIN_UNNAMED:
                writer.write(make_refusal("") + response)
            case Fault.UNFRAMED:
                writer.write(remove_content_length(response))
                return False
            case Fault.UNFRAMED_RESET:
                writer.write(remove_content_length(response)[:-3])
                # SO_LINGER with a timeout of zero seconds: closing sends a TCP reset.
                writer.get_extra_info("socket").setsockopt(1, 13, b"\1\0\0\0\0\0\0\0")
                return False
            case Fault.LOST:
                return False
            case Fault.GARBAGE:
                writer.write(b"no answer at all\r\n\r\n")
            case Fault.UNSIGNED:
                writer.write(make_response(200, request_id, body, False, extra))
            case _:
                writer.write(response)
        return True


async def read_request(reader: asyncio.StreamReader) -> ServedRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = head[0].split(" ")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(": ")
        if name:
            headers[name.lower()] = value
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return ServedRequest(method, target, headers, body)


def make_response(
    status: int, request_id: str, body: bytes, signed: bool = True, extra: str = ""
) -> bytes:
    stamp = "X-Heathermount-Response-Stamp: stamp-1\r\n" if signed else ""
    named = f"X-Heathermount-Request-Id: {request_id}\r\n" if request_id else ""
    head = (
        f"HTTP/1.1 {status} Status\r\n{named}"
        f"{stamp}{extra}X-Heathermount-Server-Load: 1,0,8\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def make_refusal(request_id: str) -> bytes:
    """Return a refusal of a request; it names none if the ID is empty."""
    not_executed = "X-Heathermount-Not-Executed: 1\r\n"
    return make_response(503, request_id, b"", False, not_executed)


def remove_content_length(response: bytes) -> bytes:
    """Return a response without its Content-Length header."""
    head, _, body = response.partition(b"\r\n\r\n")
    lines = [
        line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
