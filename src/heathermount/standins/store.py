"""Stand-in for the key-value store, as an in-process client and as a process."""

import sys
from collections.abc import Awaitable, Callable
from random import Random

import anyio
import uvicorn
from absl import app, flags

from heathermount.clocks import SystemClock
from heathermount.errors import StoreOutcomeUnknown, StoreUnavailable
from heathermount.standins.store_gateway import StoreGateway
from heathermount.standins.store_state import (
    Compare,
    StoreFaults,
    StoreSnapshot,
    StoreState,
)
from heathermount.store.interface import Versioned

__all__ = ["FakeStore", "StoreFaults", "StoreGateway", "StoreSnapshot", "StoreState"]


class FakeStore:
    """In-process implementation of Store on a StoreState, including its faults."""

    __slots__ = ("_prefix", "_sleep", "_timeout_s", "state")

    def __init__(
        self,
        state: StoreState,
        prefix: str = "/heathermount",
        timeout_s: float = 1.0,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self.state = state
        self._prefix = prefix.rstrip("/") + "/"
        self._timeout_s = timeout_s
        self._sleep = sleep

    async def get(self, key: str) -> Versioned | None:
        encoded_key = self._encode_key(key)
        await self._admit_read()
        item = self.state.read(encoded_key).get(encoded_key)
        return None if item is None else Versioned(item.value, item.mod_revision)

    async def get_prefix(self, prefix: str) -> dict[str, Versioned]:
        start = self._encode_key(prefix)
        end = start[:-1] + bytes([start[-1] + 1])
        await self._admit_read()
        return {
            encoded_key.decode().removeprefix(self._prefix): Versioned(
                item.value, item.mod_revision
            )
            for encoded_key, item in self.state.read(start, end).items()
        }

    async def commit(
        self, compares: dict[str, int], writes: dict[str, bytes | None]
    ) -> bool:
        self.state.admit("txn")
        timed_out = await self._wait_for_delay()
        conditions = [
            Compare(self._encode_key(key), "mod", "EQUAL", version)
            for key, version in compares.items()
        ]
        encoded = {self._encode_key(key): value for key, value in writes.items()}
        succeeded = self.state.transact(conditions, encoded)
        if self.state.draw_response_loss() or timed_out:
            raise StoreOutcomeUnknown(
                "the response of the store was lost; read the keys back"
            )
        return succeeded

    async def _admit_read(self) -> None:
        self.state.admit("range")
        if await self._wait_for_delay():
            raise StoreUnavailable("the store did not answer in time")

    async def _wait_for_delay(self) -> bool:
        """Wait for the simulated delay; return whether it reached the timeout."""
        delay_s = self.state.faults.delay_s
        if delay_s:
            await self._sleep(min(delay_s, self._timeout_s))
        return delay_s >= self._timeout_s

    def _encode_key(self, key: str) -> bytes:
        return (self._prefix + key).encode()


def define_flags() -> None:
    """Define the flags of the process in the global flags of absl."""
    flags.DEFINE_string("listen", "127.0.0.1:2379", "Gateway address, as ip:port.")
    flags.DEFINE_integer("seed", 1, "Seed of the random faults.")


def main(argv: list[str]) -> None:
    """Serve the gateway until the process gets a termination signal."""
    host, _, port = flags.FLAGS.listen.rpartition(":")
    gateway = StoreGateway(StoreState(SystemClock(), Random(flags.FLAGS.seed)))
    config = uvicorn.Config(
        gateway,
        host=host,
        port=int(port),
        lifespan="off",
        log_level="warning",
        timeout_graceful_shutdown=1,
    )
    uvicorn.Server(config).run()


if __name__ == "__main__":
    define_flags()
    app.run(main, argv=sys.argv)
