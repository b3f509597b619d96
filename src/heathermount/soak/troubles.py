"""Faults of the gateway soak, caused from outside the node processes.

Each function causes one fault and ends it. Several run at the same time, also on
the same instance. Each gets random numbers of its own, so that a seed repeats the
same faults whatever the clients do meanwhile.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

import msgspec

from heathermount.gateway.configuration_document import GatewayDocument
from heathermount.soak.instances import Instance
from heathermount.soak.proxy import LoopbackProxy, Trouble
from heathermount.standins.platform_operator import publish_configuration
from heathermount.standins.platform_server import Fault
from heathermount.standins.platform_store import PlatformStoreStandIn

__all__ = ["TROUBLES", "SoakState"]

# Times that a fault lasts, in seconds: shorter and longer than the time after
# which a proof of the configuration is too old.
SHORTEST_S: Final = 0.3
LONGEST_S: Final = 5.0

DELAY_S: Final = 0.08

# Versions of the operator's configuration rise in steps larger than one.
VERSION_STEP: Final = 3

# Requests that a faulty server answers wrongly.
FAULTY_ANSWERS: Final = 15

SERVER_FAULTS: Final = [fault for fault in Fault if fault is not Fault.NONE]


class SoakState:
    """What the faults act on."""

    def __init__(
        self,
        store: PlatformStoreStandIn,
        instances: list[Instance],
        document: GatewayDocument,
    ) -> None:
        self.store = store
        self.instances = instances
        self.document = document
        # Keys by the time since which every node must know them, and the time of
        # the acknowledgement with which each key was withdrawn.
        self.keys: dict[str, float] = {}
        self.withdrawn: dict[str, float] = {}
        self.publish()

    def publish(self) -> None:
        """Write the configuration as the operator."""
        version = self.document.version + VERSION_STEP
        self.document = msgspec.structs.replace(self.document, version=version)
        publish_configuration(self.store, self.document)


def pick(state: SoakState, random: Random) -> Instance:
    return random.choice(state.instances)


def choose_duration(random: Random) -> float:
    return random.uniform(SHORTEST_S, LONGEST_S)


async def kill_node(state: SoakState, random: Random) -> None:
    instance = pick(state, random)
    instance.kill()
    await asyncio.sleep(random.uniform(0.0, 2.0))
    if not instance.running:
        instance.start_node()


async def kill_many(state: SoakState, random: Random) -> None:
    count = max(1, len(state.instances) // 2)
    chosen = random.sample(state.instances, count)
    for instance in chosen:
        instance.kill()
    await asyncio.sleep(random.uniform(0.2, 1.5))
    for instance in chosen:
        if not instance.running:
            instance.start_node()


async def roll_nodes(state: SoakState, random: Random) -> None:
    for instance in random.sample(state.instances, 2):
        if instance.running:
            await instance.stop()
        if not instance.running:
            instance.start_node()


async def pause_node(state: SoakState, random: Random) -> None:
    instance = pick(state, random)
    if not instance.running or instance.paused:
        return
    instance.pause()
    await asyncio.sleep(choose_duration(random))
    instance.resume()


async def reload_nodes(state: SoakState, random: Random) -> None:
    for instance in random.sample(state.instances, 2):
        instance.reload()
        await asyncio.sleep(0.1)


async def trouble_proxy(proxy: LoopbackProxy, random: Random) -> None:
    trouble = random.choice([one for one in Trouble if one is not Trouble.NONE])
    proxy.cause(trouble, DELAY_S)
    await asyncio.sleep(choose_duration(random))
    proxy.cause(Trouble.NONE)


async def trouble_peers(state: SoakState, random: Random) -> None:
    await trouble_proxy(pick(state, random).to_node, random)


async def trouble_store_path(state: SoakState, random: Random) -> None:
    await trouble_proxy(pick(state, random).to_store, random)


async def cut_node(state: SoakState, random: Random) -> None:
    instance = pick(state, random)
    proxies = (instance.to_node, instance.to_store)
    await asyncio.gather(*(trouble_proxy(proxy, random) for proxy in proxies))


async def store_down(state: SoakState, random: Random) -> None:
    store = state.store
    attribute = random.choice(["down", "silent", "limited", "lose_answers"])
    setattr(store, attribute, True)
    await asyncio.sleep(choose_duration(random))
    setattr(store, attribute, False)
    # Calls that wait in silence end with their connections.
    store.cut_connections()


async def store_acts_late(state: SoakState, random: Random) -> None:
    state.store.act_late_s = random.uniform(0.2, 2.0)
    await asyncio.sleep(choose_duration(random))
    state.store.act_late_s = 0.0


async def drop_history(state: SoakState, random: Random) -> None:
    state.store.compact()


async def lapse_leases(state: SoakState, random: Random) -> None:
    state.store.lapse_leases()


async def crash_server(state: SoakState, random: Random) -> None:
    instance = pick(state, random)
    instance.crash_server()
    await asyncio.sleep(choose_duration(random))
    if instance.server is None:
        await instance.start_server()


async def drain_server(state: SoakState, random: Random) -> None:
    instance = pick(state, random)
    await instance.drain_server(random)
    if instance.server is None:
        await instance.start_server()


async def spoil_answers(state: SoakState, random: Random) -> None:
    server = pick(state, random).server
    if server is not None:
        fault = random.choice(SERVER_FAULTS)
        server.faults = [fault] * FAULTY_ANSWERS


async def withdraw_key(state: SoakState, random: Random) -> None:
    """Withdraw the oldest key of an organisation and give it a new one."""
    organisations = state.document.organisations
    index = random.randrange(len(organisations))
    known = organisations[index]
    old = known.keys[0]
    new = f"key-{known.name}-{state.document.version}"
    organisations[index] = msgspec.structs.replace(known, keys=[new])
    state.publish()
    now = time.monotonic()
    state.withdrawn[old] = now
    state.keys.pop(old, None)
    state.keys[new] = now


async def change_configuration(state: SoakState, random: Random) -> None:
    for _ in range(random.randint(1, 5)):
        state.publish()
        await asyncio.sleep(random.uniform(0.0, 0.3))


TROUBLES: Final[dict[str, Callable[[SoakState, Random], Awaitable[None]]]] = {
    function.__name__: function
    for function in (
        kill_node,
        kill_many,
        roll_nodes,
        pause_node,
        reload_nodes,
        trouble_peers,
        trouble_store_path,
        cut_node,
        store_down,
        store_acts_late,
        drop_history,
        lapse_leases,
        crash_server,
        drain_server,
        spoil_answers,
        withdraw_key,
        change_configuration,
    )
}
