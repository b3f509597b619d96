"""Faults of the gateway soak, injected from outside the node processes.

Each function injects one fault and ends it. Several may run concurrently, even on
the same instance. Each has its own random generator, so that a seed yields the
same faults regardless of the clients. Reports contain the names of the functions.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

import msgspec

from heathermount.gateway.configuration_document import GatewayDocument
from heathermount.soak.instances import Instance
from heathermount.soak.proxy import LoopbackProxy, NetworkFault
from heathermount.standins.platform_operator import publish_configuration
from heathermount.standins.platform_server import Fault
from heathermount.standins.platform_store import PlatformStoreStandIn

__all__ = ["GATEWAY_FAULTS", "GatewaySoakState"]

# Bounds of the duration of a fault, below and above the time after which a
# confirmation of the configuration is stale.
MIN_FAULT_DURATION_S: Final = 0.3
MAX_FAULT_DURATION_S: Final = 5.0

PROXY_DELAY_S: Final = 0.08

# Versions of configurations are not consecutive.
VERSION_STEP: Final = 3

# Requests per second that a server in need takes, and bounds of how long it says so.
STATED_RATES: Final = [0.5, 2.0, 6.5, 15.0]
MIN_LIMIT_DURATION_S: Final = 5.0
MAX_LIMIT_DURATION_S: Final = 12.0

# Number of requests to which a faulty server responds wrongly.
FAULTY_RESPONSES: Final = 15

SERVER_FAULTS: Final = [fault for fault in Fault if fault is not Fault.NONE]


class GatewaySoakState:
    """The parts of the fleet on which the faults act."""

    def __init__(
        self,
        store: PlatformStoreStandIn,
        instances: list[Instance],
        document: GatewayDocument,
    ) -> None:
        self.store = store
        self.instances = instances
        self.document = document
        # Valid keys with the time at which the store acknowledged them, and withdrawn
        # keys with the time at which the store acknowledged the withdrawal.
        self.valid_keys: dict[str, float] = {}
        self.withdrawn_keys: dict[str, float] = {}
        self.publish()

    def publish(self) -> None:
        """Write the configuration with a new version to the store, as the operator."""
        version = self.document.version + VERSION_STEP
        self.document = msgspec.structs.replace(self.document, version=version)
        publish_configuration(self.store, self.document)


def pick_instance(state: GatewaySoakState, random: Random) -> Instance:
    return random.choice(state.instances)


def draw_duration_s(random: Random) -> float:
    return random.uniform(MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S)


async def kill_node(state: GatewaySoakState, random: Random) -> None:
    instance = pick_instance(state, random)
    instance.kill()
    await asyncio.sleep(random.uniform(0.0, 2.0))
    if not instance.running:
        instance.start_node()


async def kill_many(state: GatewaySoakState, random: Random) -> None:
    """Kill half of the nodes at once and restart them."""
    count = max(1, len(state.instances) // 2)
    chosen = random.sample(state.instances, count)
    for instance in chosen:
        instance.kill()
    await asyncio.sleep(random.uniform(0.2, 1.5))
    for instance in chosen:
        if not instance.running:
            instance.start_node()


async def roll_nodes(state: GatewaySoakState, random: Random) -> None:
    """Stop two nodes gracefully and restart them, one after the other."""
    for instance in random.sample(state.instances, 2):
        if instance.running:
            await instance.stop()
        if not instance.running:
            instance.start_node()


async def pause_node(state: GatewaySoakState, random: Random) -> None:
    instance = pick_instance(state, random)
    if not instance.running or instance.paused:
        return
    instance.pause()
    await asyncio.sleep(draw_duration_s(random))
    instance.resume()


async def reload_nodes(state: GatewaySoakState, random: Random) -> None:
    for instance in random.sample(state.instances, 2):
        instance.reload_settings()
        await asyncio.sleep(0.1)


async def disturb_proxy(proxy: LoopbackProxy, random: Random) -> None:
    fault = random.choice([one for one in NetworkFault if one is not NetworkFault.NONE])
    proxy.set_fault(fault, PROXY_DELAY_S)
    await asyncio.sleep(draw_duration_s(random))
    proxy.set_fault(NetworkFault.NONE)


async def trouble_peers(state: GatewaySoakState, random: Random) -> None:
    """Disturb the connections of other nodes to one node."""
    await disturb_proxy(pick_instance(state, random).node_proxy, random)


async def trouble_store_path(state: GatewaySoakState, random: Random) -> None:
    """Disturb the connections of one node to the store."""
    await disturb_proxy(pick_instance(state, random).store_proxy, random)


async def cut_node(state: GatewaySoakState, random: Random) -> None:
    """Disturb the connections to one node and those from it to the store."""
    instance = pick_instance(state, random)
    proxies = (instance.node_proxy, instance.store_proxy)
    await asyncio.gather(*(disturb_proxy(proxy, random) for proxy in proxies))


async def store_down(state: GatewaySoakState, random: Random) -> None:
    """Let the store refuse, rate-limit or ignore calls, or lose responses."""
    store = state.store
    attribute = random.choice(["down", "silent", "limited", "lose_answers"])
    setattr(store, attribute, True)
    await asyncio.sleep(draw_duration_s(random))
    setattr(store, attribute, False)
    # Calls that got no response wait until their connections are closed.
    store.cut_connections()


async def store_acts_late(state: GatewaySoakState, random: Random) -> None:
    """Let the store cut all connections at a write and apply the write later."""
    state.store.apply_delay_s = random.uniform(0.2, 2.0)
    await asyncio.sleep(draw_duration_s(random))
    state.store.apply_delay_s = 0.0


async def drop_history(state: GatewaySoakState, random: Random) -> None:
    """Compact the store, so that older watches have to start again."""
    state.store.compact()


async def lapse_leases(state: GatewaySoakState, random: Random) -> None:
    """Expire all leases of the store."""
    state.store.lapse_leases()


async def crash_server(state: GatewaySoakState, random: Random) -> None:
    instance = pick_instance(state, random)
    instance.crash_server()
    await asyncio.sleep(draw_duration_s(random))
    if instance.server is None:
        await instance.start_server()


async def drain_server(state: GatewaySoakState, random: Random) -> None:
    instance = pick_instance(state, random)
    await instance.drain_server(random)
    if instance.server is None:
        await instance.start_server()


async def limit_server(state: GatewaySoakState, random: Random) -> None:
    """Let a backend server state a limit of its rate in its answers."""
    duration_s = random.uniform(MIN_LIMIT_DURATION_S, MAX_LIMIT_DURATION_S)
    instance = pick_instance(state, random)
    await instance.limit_server(random.choice(STATED_RATES), duration_s)


async def spoil_answers(state: GatewaySoakState, random: Random) -> None:
    """Let a backend server respond wrongly to its next requests."""
    server = pick_instance(state, random).server
    if server is not None:
        fault = random.choice(SERVER_FAULTS)
        server.faults = [fault] * FAULTY_RESPONSES


async def withdraw_key(state: GatewaySoakState, random: Random) -> None:
    """Replace the key of an organisation by a new one."""
    organisations = state.document.organisations
    index = random.randrange(len(organisations))
    organisation = organisations[index]
    old_key = organisation.keys[0]
    new_key = f"key-{organisation.name}-{state.document.version}"
    organisations[index] = msgspec.structs.replace(organisation, keys=[new_key])
    state.publish()
    now = time.monotonic()
    state.withdrawn_keys[old_key] = now
    state.valid_keys.pop(old_key, None)
    state.valid_keys[new_key] = now


async def change_configuration(state: GatewaySoakState, random: Random) -> None:
    """Publish new configuration versions in quick succession."""
    for _ in range(random.randint(1, 5)):
        state.publish()
        await asyncio.sleep(random.uniform(0.0, 0.3))


GATEWAY_FAULTS: Final[
    dict[str, Callable[[GatewaySoakState, Random], Awaitable[None]]]
] = {
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
        limit_server,
        spoil_answers,
        withdraw_key,
        change_configuration,
    )
}
