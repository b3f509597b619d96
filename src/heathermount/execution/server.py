"""HTTP client towards the backend server beside this node."""

from collections import deque
from typing import Final

import anyio
import httpcore

from heathermount.clocks import Clock
from heathermount.values import Headers

__all__ = [
    "AnswerTooLarge",
    "ServerAnswer",
    "ServerBroke",
    "ServerClient",
    "ServerUnreachable",
]

# Servers close idle connections after a few seconds (uvicorn: 5 s). A
# connection that was idle for longer than this is not used again.
IDLE_EXPIRY_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 1.0

# Headers about one connection are not passed on.
HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"content-length",
        b"date",
        b"keep-alive",
        b"server",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class ServerUnreachable(Exception):
    """No connection to the backend server: the request did not run."""


class ServerBroke(Exception):
    """The connection broke while the request ran.

    `answering` tells whether the answer had begun.
    """

    def __init__(self, cause: str, answering: bool) -> None:
        super().__init__(cause)
        self.answering = answering


class AnswerTooLarge(Exception):
    """The backend server's answer is over the limit."""


class ServerAnswer:
    """A whole answer of the backend server."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class ServerClient:
    """Calls one backend server over reused connections."""

    __slots__ = (
        "_clock",
        "_connections",
        "_idle",
        "_origin",
        "_slots",
        "address",
        "max_body_bytes",
    )

    def __init__(
        self, address: str, connections: int, max_body_bytes: int, clock: Clock
    ) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self.max_body_bytes = max_body_bytes
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._clock = clock
        self._connections = connections
        self._slots = anyio.Semaphore(connections, fast_acquire=True)
        self._idle: deque[tuple[float, httpcore.AsyncHTTPConnection]] = deque()

    async def call(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        repeatable: bool,
    ) -> ServerAnswer:
        """Run a request and return the whole answer.

        Raises ServerUnreachable when the request was provably not sent,
        ServerBroke when the connection ended before the answer was complete,
        AnswerTooLarge over `max_body_bytes`. Cancelling closes the connection,
        which cancels the request at the server.
        """
        async with self._slots:
            # A request that may not be repeated gets a new connection: a reused
            # one may be closed by the server just as the request is sent.
            connection = await self._take_idle() if repeatable else None
            await self._make_room()
            if connection is None:
                connection = httpcore.AsyncHTTPConnection(
                    self._origin, keepalive_expiry=IDLE_EXPIRY_S
                )
            return await self._exchange(connection, method, target, headers, body)

    async def _take_idle(self) -> httpcore.AsyncHTTPConnection | None:
        """Return the connection used last, if it is still good."""
        oldest = self._clock.monotonic() - IDLE_EXPIRY_S
        while self._idle:
            idle_since, connection = self._idle.pop()
            if idle_since >= oldest and not connection.has_expired():
                return connection
            await connection.aclose()
        return None

    async def _make_room(self) -> None:
        """Close old idle connections, and any above the server's limit."""
        oldest = self._clock.monotonic() - IDLE_EXPIRY_S
        in_use = self._connections - self._slots.value
        while self._idle:
            idle_since, connection = self._idle[0]
            if idle_since >= oldest and in_use + len(self._idle) <= self._connections:
                return
            self._idle.popleft()
            await connection.aclose()

    async def _exchange(
        self,
        connection: httpcore.AsyncHTTPConnection,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
    ) -> ServerAnswer:
        request = httpcore.Request(
            method,
            httpcore.URL(
                scheme=b"http",
                host=self._origin.host,
                port=self._origin.port,
                target=target.encode("ascii"),
            ),
            headers=headers,
            content=body,
            extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}},
        )
        reusable = False
        answering = False
        try:
            response = await connection.handle_async_request(request)
            answering = True
            chunks = []
            size = 0
            async for chunk in response.aiter_stream():
                size += len(chunk)
                if size > self.max_body_bytes:
                    raise AnswerTooLarge(f"answer is over {self.max_body_bytes} bytes")
                chunks.append(chunk)
            await response.aclose()
            reusable = connection.is_idle()
            kept = [h for h in response.headers if h[0].lower() not in HOP_HEADERS]
            return ServerAnswer(response.status, kept, b"".join(chunks))
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise ServerUnreachable(str(error)) from error
        except (
            httpcore.NetworkError,
            httpcore.RemoteProtocolError,
            httpcore.LocalProtocolError,
        ) as error:
            raise ServerBroke(str(error), answering) from error
        finally:
            if reusable:
                self._idle.append((self._clock.monotonic(), connection))
            else:
                with anyio.CancelScope(shield=True):
                    await connection.aclose()

    async def probe(self) -> bool:
        """Tell whether the backend server accepts connections."""
        host, port = self._origin.host.decode(), self._origin.port
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(host, port)
                await stream.aclose()
        except (OSError, TimeoutError):
            return False
        return True

    async def close(self) -> None:
        for _, connection in self._idle:
            await connection.aclose()
        self._idle.clear()
