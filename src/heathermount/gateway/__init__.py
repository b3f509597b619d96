"""Gateway nodes, which forward requests between the instances of a fleet."""

from heathermount.gateway.node import ConfigurationReader, GatewayNode
from heathermount.gateway.settings import GatewaySettings

__all__ = ["ConfigurationReader", "GatewayNode", "GatewaySettings"]
