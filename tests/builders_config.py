"""Test helpers for the store client and the configuration."""

import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Generator
from contextlib import asynccontextmanager
from types import coroutine
from typing import Any

import anyio
import uvicorn

from builders import make_settings_table
from heathermount.clocks import Clock, ManualClock
from heathermount.config.declaration import Declaration
from heathermount.config.documents import Change, FleetDocument
from heathermount.config.settings import Settings
from heathermount.config.tracker import ConfigTracker
from heathermount.events import EventLog
from heathermount.standins.store import FakeStore, StoreGateway, StoreState
from heathermount.store import EtcdStore, Store, Versioned

SECRET = b"a secret of the test fleet"


def make_declaration_table(**sections: Any) -> dict[str, Any]:
    """Return the tables of a small valid declaration, with some sections replaced."""
    table: dict[str, Any] = {
        "version": 1,
        "failure_domains": ["a", "b", "c"],
        "routes": [
            {"name": "stock", "service": "pantry", "path": "/pantry/stock"},
            {
                "name": "shelf",
                "service": "pantry",
                "path": "/pantry/stock/shelf",
                "methods": ["GET"],
                "open": True,
            },
            {"name": "menu", "service": "menu", "path": "/menu", "methods": ["GET"]},
        ],
        "organisations": [{"name": "cart-1"}, {"name": "cart-2"}],
    }
    return table | sections


def make_declaration(**sections: Any) -> Declaration:
    return Declaration.from_config(make_declaration_table(**sections), "fleet.toml")


def make_document(**sections: Any) -> FleetDocument:
    """Return a document at revision 1 made from a small declaration."""
    entries = make_declaration(**sections).to_entries()
    change = Change(1, "first", "", "test", "", 1.0, entries, [])
    return FleetDocument().apply(change)


def make_tracker(
    store: Store, clock: Clock | None = None, domain: str = "a"
) -> ConfigTracker:
    node = {"name": f"node-{domain}", "service": "pantry", "failure_domain": domain}
    settings = Settings.from_config(make_settings_table(node=node), "node.toml")
    clock = clock or ManualClock()
    events = EventLog(settings.node.name, clock, quiet=True)
    return ConfigTracker.from_config(settings, store, clock, events)


class ReadyServer(uvicorn.Server):
    """A server that sets an event when it accepts connections."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ready = anyio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        self.ready.set()


@asynccontextmanager
async def serve_gateway(state: StoreState) -> AsyncIterator[EtcdStore]:
    """Serve the store gateway on a free loopback port; yield a client for it."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    config = uvicorn.Config(StoreGateway(state), lifespan="off", log_level="error")
    server = ReadyServer(config)
    store = EtcdStore(f"127.0.0.1:{listener.getsockname()[1]}", "/heathermount", 2.0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, [listener])
        with anyio.fail_after(10):
            await server.ready.wait()
        try:
            yield store
        finally:
            with anyio.CancelScope(shield=True):
                await store.close()
            server.should_exit = True


@asynccontextmanager
async def open_fake_store(state: StoreState) -> AsyncIterator[FakeStore]:
    yield FakeStore(state)


def run(test: Callable[[], Awaitable[Any]]) -> Any:
    """Run an asynchronous test body with a timeout of 30 seconds."""

    async def run_with_timeout() -> Any:
        with anyio.fail_after(30):
            return await test()

    return anyio.run(run_with_timeout)


@coroutine
def suspend() -> Generator[None, None, None]:
    """Suspend a coroutine until its driver calls send() again."""
    yield


class SuspendingStore:
    """A store that suspends the calling coroutine before each call.

    A test can thus interleave operations at any store call.
    """

    def __init__(self, state: StoreState) -> None:
        self._store = FakeStore(state, sleep=self.sleep)

    async def sleep(self, seconds: float) -> None:
        await suspend()

    async def get(self, key: str) -> Versioned | None:
        await suspend()
        return await self._store.get(key)

    async def get_prefix(self, prefix: str) -> dict[str, Versioned]:
        await suspend()
        return await self._store.get_prefix(prefix)

    async def commit(
        self, compares: dict[str, int], writes: dict[str, bytes | None]
    ) -> bool:
        await suspend()
        return await self._store.commit(compares, writes)


def run_to_next_call(operation: Coroutine[Any, Any, Any]) -> tuple[bool, Any]:
    """Run a coroutine to its next store call; return whether it ended and its result.

    The result is the exception if the coroutine raised one.
    """
    try:
        operation.send(None)
    except StopIteration as stop:
        return True, stop.value
    except Exception as error:
        return True, error
    return False, None
