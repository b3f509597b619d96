"""Gateway nodes: fast forwarding of requests between backend servers' instances."""

from heathermount.gateway.node import ConfigurationReader, GatewayNode
from heathermount.gateway.settings import GatewaySettings

__all__ = ["ConfigurationReader", "GatewayNode", "GatewaySettings"]
