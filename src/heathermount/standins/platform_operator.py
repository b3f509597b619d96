"""Simulated operator of the platform, who writes configurations to the store."""

import json
from typing import Final

from heathermount.gateway.configuration_document import GatewayDocument
from heathermount.standins.platform_store import PlatformStoreStandIn

__all__ = ["encode_configuration", "publish_configuration"]

CONFIGURATION_KEY: Final = "op/config"


def publish_configuration(
    store: PlatformStoreStandIn, document: GatewayDocument
) -> None:
    """Write a configuration to the store."""
    store.put_as_operator(CONFIGURATION_KEY, encode_configuration(document))


def encode_configuration(document: GatewayDocument) -> bytes:
    """Return a configuration in the JSON format of the platform's operator."""
    return json.dumps(
        {
            "Version": document.version,
            "Routes": [
                {
                    "Name": route.name,
                    "Host": route.host,
                    "Prefix": route.prefix,
                    "Kind": "safe" if route.idempotent else "unsafe",
                    "Timeout": f"{int(route.timeout_s * 1000)}ms",
                    "TargetLatency": f"{int(route.objective_s * 1000)}ms",
                    "Priority": route.priority,
                    "TrafficSplit": [
                        {"Service": target.service, "Weight": target.weight}
                        for target in route.targets
                    ],
                    "MaxAttempts": route.max_attempts,
                    "Public": route.public,
                }
                for route in document.routes
            ],
            "Services": [
                {
                    "Name": service.name,
                    "HealthCheckPath": service.health_path,
                    "ConnectionLimit": service.connections,
                }
                for service in document.services
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": document.limits.max_body_bytes,
                "HeaderTimeout": "3000ms",
                "IdleTimeout": "15000ms",
            },
            "Tenants": [
                {
                    "Name": organisation.name,
                    "ApiKeys": organisation.keys,
                    "Priority": organisation.priority,
                    "RatePerS": organisation.rate,
                    "Burst": organisation.burst,
                }
                for organisation in document.organisations
            ],
        }
    ).encode()
