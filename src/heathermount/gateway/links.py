"""Framed TCP links between gateway nodes, each multiplexing many calls."""

import asyncio
from collections.abc import Callable
from typing import Final

from absl import logging

from heathermount.clocks import Clock
from heathermount.errors import PeerLost, PeerTimeout, PeerUnreachable
from heathermount.framing import FrameKind
from heathermount.gateway.messages import (
    MESSAGE_DECODER,
    MESSAGE_ENCODER,
    Message,
    Ping,
    Pong,
)
from heathermount.gateway.peer_connections import FrameProtocol

__all__ = ["Link", "LinkTable"]

CONNECT_TIMEOUT_S: Final = 1.0

# Silence after which a link in use is pinged, short enough to detect a silent
# connection well within a request's latency objective.
PING_INTERVAL_S: Final = 0.5

# A link counts as in use while calls are pending, and this long after the last call.
IN_USE_S: Final = 0.75

# A link that has not been used for this long is closed.
CLOSE_UNUSED_AFTER_S: Final = 20.0

# A link in use on which no answer has arrived for UNRESPONSIVE_AFTER_S gets no new
# calls. After DEAD_AFTER_S its connection is closed and replaced.
UNRESPONSIVE_AFTER_S: Final = 1.0
DEAD_AFTER_S: Final = 2.0

# Exponential backoff between connection attempts.
INITIAL_RECONNECT_DELAY_S: Final = 0.2
MAX_RECONNECT_DELAY_S: Final = 1.0


class LinkProtocol(FrameProtocol):
    """An outgoing connection to a peer."""

    __slots__ = ("_link",)

    def __init__(self, link: "Link") -> None:
        super().__init__()
        self._link = link

    def handle_frame(self, call_id: int, kind: int, body: bytes) -> None:
        self._link.handle_answer(call_id, kind, body)

    def handle_disconnect(self) -> None:
        self._link.handle_disconnect()


class Link:
    """Keeps one connection to a peer open while it is used; calls fail without it.

    Only a link in use is pinged, so that the cost of a link depends on its calls.
    """

    __slots__ = (
        "_abandoned_calls",
        "_close_when_idle",
        "_connect_failed",
        "_host",
        "_last_received_at",
        "_loop",
        "_next_call_id",
        "_pending_calls",
        "_port",
        "_protocol",
        "_table",
        "_task",
        "_used",
        "_used_at",
        "address",
        "attempted",
    )

    def __init__(self, address: str, table: "LinkTable") -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._host = host
        self._port = int(port)
        self._table = table
        self._loop = asyncio.get_running_loop()
        self._protocol: LinkProtocol | None = None
        self._pending_calls: dict[int, asyncio.Future[Message]] = {}
        self._next_call_id = 1
        # Cancelled calls whose answers may still arrive on this connection.
        self._abandoned_calls = 0
        self._last_received_at = 0.0
        self._close_when_idle = False
        self._connect_failed = False
        self._used_at = self._loop.time()
        # Set by each call; cleared while the link is not in use.
        self._used = asyncio.Event()
        # Set while the link is connected or the last attempt to connect has failed.
        self.attempted = asyncio.Event()
        self._task = self._loop.create_task(self._maintain_connection())

    @property
    def usable(self) -> bool:
        """Whether the link is connected and no answer of the peer is overdue."""
        return self._protocol is not None and not self._answer_overdue()

    @property
    def suspected(self) -> bool:
        """Whether the peer could not be reached, or an answer of it is overdue."""
        if self._protocol is None:
            return self._connect_failed
        return self._answer_overdue()

    def _answer_overdue(self) -> bool:
        silence_s = self._loop.time() - self._last_received_at
        return self._used.is_set() and silence_s >= UNRESPONSIVE_AFTER_S

    def close(self) -> None:
        self._task.cancel()
        protocol, self._protocol = self._protocol, None
        if protocol is not None:
            protocol.close()

    def close_when_idle(self) -> None:
        """Close the link once no call is pending on it."""
        self._close_when_idle = True
        if not self._pending_calls:
            self.close()

    def start_call(self, message: Message) -> tuple[int, asyncio.Future[Message]]:
        """Send a message; return the call's id and the future of its answer.

        Raises PeerUnreachable if there is no connection.
        """
        protocol = self._protocol
        if protocol is None or protocol.transport is None:
            raise PeerUnreachable(f"there is no connection to {self.address}")
        self._used_at = self._loop.time()
        if not self._used.is_set():
            # The silence of an unused link says nothing about the peer.
            self._last_received_at = self._used_at
            self._used.set()
        call_id, self._next_call_id = self._next_call_id, self._next_call_id + 1
        future: asyncio.Future[Message] = self._loop.create_future()
        self._pending_calls[call_id] = future
        protocol.send_frame(call_id, FrameKind.REQUEST, MESSAGE_ENCODER.encode(message))
        return call_id, future

    def cancel_call(self, call_id: int) -> None:
        """Tell the peer to cancel a call, unless it has been answered."""
        if (
            self._pending_calls.pop(call_id, None) is not None
            and self._protocol is not None
        ):
            self._abandoned_calls += 1
            self._protocol.send_frame(call_id, FrameKind.CANCEL)

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Send a message and return its answer.

        Raises PeerUnreachable if the message was not sent, PeerLost if the peer
        disconnected or failed, and PeerTimeout after `timeout_s` seconds.
        """
        call_id, future = self.start_call(message)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            raise PeerTimeout(f"{self.address} did not answer in time") from None
        finally:
            self.cancel_call(call_id)

    def handle_answer(self, call_id: int, kind: int, body: bytes) -> None:
        self._last_received_at = self._loop.time()
        # A malformed answer ends the connection, which fails all pending calls.
        answer = MESSAGE_DECODER.decode(body) if kind == FrameKind.ANSWER else None
        future = self._pending_calls.pop(call_id, None)
        if self._close_when_idle and not self._pending_calls:
            self.close()
        if future is None:
            self._handle_unexpected_answer()
            return
        if future.done():
            return
        if answer is not None:
            future.set_result(answer)
        else:
            future.set_exception(PeerLost(f"{self.address} failed to answer"))

    def _handle_unexpected_answer(self) -> None:
        """Close a connection with more answers than calls, each of which costs time."""
        self._abandoned_calls -= 1
        if self._abandoned_calls < 0 and self._protocol is not None:
            logging.warning("event=answer-unexpected peer=%s", self.address)
            self._protocol.close()

    def handle_disconnect(self) -> None:
        self._protocol = None
        self._abandoned_calls = 0
        self.attempted.clear()
        self._used.set()
        error = PeerLost(f"the connection to {self.address} ended")
        pending_calls, self._pending_calls = self._pending_calls, {}
        for future in pending_calls.values():
            if not future.done():
                future.set_exception(error)
                # Mark the error as retrieved: asyncio would otherwise report it
                # if no caller awaits the future any more.
                future.exception()

    async def _maintain_connection(self) -> None:
        """Connect, and reconnect with backoff, until cancelled or unused."""
        reconnect_delay_s = INITIAL_RECONNECT_DELAY_S
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, protocol = await self._loop.create_connection(
                        lambda: LinkProtocol(self), self._host, self._port
                    )
            except (OSError, TimeoutError) as error:
                self._table.log_connect_failure(self.address, error)
                self._connect_failed = True
                self.attempted.set()
                if self._unused_for(CLOSE_UNUSED_AFTER_S):
                    self._table.discard(self)
                    return
                await asyncio.sleep(reconnect_delay_s)
                reconnect_delay_s = min(MAX_RECONNECT_DELAY_S, 2 * reconnect_delay_s)
                continue
            self._protocol = protocol
            self._connect_failed = False
            opened_at = self._last_received_at = self._loop.time()
            self._used.set()
            self.attempted.set()
            logging.info("event=link-opened peer=%s", self.address)
            await self._monitor_connection()
            if self._close_when_idle:
                # Its node has left; nobody uses this link any more.
                return
            if self._unused_for(CLOSE_UNUSED_AFTER_S) and not self._pending_calls:
                logging.info("event=link-closed peer=%s cause=unused", self.address)
                self._table.discard(self)
                return
            logging.info("event=link-lost peer=%s", self.address)
            if self._loop.time() - opened_at > MAX_RECONNECT_DELAY_S:
                # Reconnect at once if the lost connection had been stable.
                reconnect_delay_s = INITIAL_RECONNECT_DELAY_S
                continue
            await asyncio.sleep(reconnect_delay_s)
            reconnect_delay_s = min(MAX_RECONNECT_DELAY_S, 2 * reconnect_delay_s)

    def _unused_for(self, seconds: float) -> bool:
        return self._loop.time() - self._used_at >= seconds

    async def _monitor_connection(self) -> None:
        """Ping the peer while the link is in use.

        Returns when the connection ends, when no answer arrives any more, or when
        the link has not been used for a long time.
        """
        while self._protocol is not None:
            if not self._pending_calls and self._unused_for(IN_USE_S):
                if not await self._wait_until_used():
                    return
                continue
            silence_s = self._loop.time() - self._last_received_at
            if silence_s < PING_INTERVAL_S:
                await asyncio.sleep(PING_INTERVAL_S - silence_s)
                continue
            if not await self._ping():
                return

    async def _wait_until_used(self) -> bool:
        """Wait for the next call; return False if none came for a long time."""
        self._used.clear()
        try:
            async with asyncio.timeout(CLOSE_UNUSED_AFTER_S):
                await self._used.wait()
        except TimeoutError:
            return False
        return True

    async def _ping(self) -> bool:
        """Ping the peer; return False if the connection has ended or is silent."""
        sent_at = self._table.clock.monotonic()
        try:
            self._table.pings_sent += 1
            # A ping is not a use of the link.
            used_at = self._used_at
            call_id, future = self.start_call(self._table.make_ping())
            self._used_at = used_at
        except PeerUnreachable:
            return False
        try:
            async with asyncio.timeout(DEAD_AFTER_S):
                answer = await future
        except TimeoutError:
            if self._loop.time() - self._last_received_at <= DEAD_AFTER_S:
                return True
            # The connection is silent; a new one may work.
            if self._protocol is not None:
                self._protocol.close()
                self.handle_disconnect()
            return False
        except PeerLost:
            return False
        finally:
            self.cancel_call(call_id)
        if isinstance(answer, Pong):
            self._table.handle_pong(self.address, answer, sent_at)
        return True


class LinkTable:
    """This node's links to its peers, by address."""

    __slots__ = ("_links", "clock", "handle_pong", "make_ping", "pings_sent")

    def __init__(
        self,
        clock: Clock,
        make_ping: Callable[[], Ping],
        handle_pong: Callable[[str, Pong, float], None],
    ) -> None:
        self.clock = clock
        self._links: dict[str, Link] = {}
        self.make_ping = make_ping
        # Link heartbeats sent since the start.
        self.pings_sent = 0
        self.handle_pong = handle_pong

    def get(self, address: str) -> Link:
        """Return the link to an address; open it on first use."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = Link(address, self)
        return link

    def suspected(self, address: str) -> bool:
        """Whether a peer is known not to answer; unknown peers are not suspected."""
        link = self._links.get(address)
        return link is not None and link.suspected

    async def connect(self, address: str, timeout_s: float) -> Link:
        """Return a connected link; raise PeerUnreachable if there is none in time."""
        link = self.get(address)
        if link.usable:
            return link
        if not link.suspected:
            try:
                async with asyncio.timeout(timeout_s):
                    await link.attempted.wait()
            except TimeoutError:
                pass
        if link.usable:
            return link
        raise PeerUnreachable(f"there is no connection to {address}")

    async def ask(self, address: str, ping: Ping, timeout_s: float) -> Pong:
        """Send a request for news; raise PeerError if there is no answer in time."""
        deadline = self.clock.monotonic() + timeout_s
        link = await self.connect(address, timeout_s)
        answer = await link.call(ping, deadline - self.clock.monotonic())
        if not isinstance(answer, Pong):
            raise PeerLost(f"{address} replied with an unexpected message type")
        return answer

    def count(self) -> int:
        return len(self._links)

    def count_usable(self) -> int:
        return sum(link.usable for link in self._links.values())

    def close_all_except(self, addresses: set[str]) -> None:
        """Close all links to other addresses once their calls have finished."""
        for address in self._links.keys() - addresses:
            self._links.pop(address).close_when_idle()

    def discard(self, link: Link) -> None:
        """Forget and close a link that is no longer used."""
        if self._links.get(link.address) is link:
            del self._links[link.address]
        link.close()

    def log_connect_failure(self, address: str, error: Exception) -> None:
        logging.log_every_n_seconds(
            logging.INFO, 'event=link-refused peer=%s error="%s"', 1, address, error
        )

    def close(self) -> None:
        for link in self._links.values():
            link.close()
        self._links.clear()
