"""Fleet topologies: services, call graphs and organisations."""

from typing import Any, Final

import msgspec

from heathermount.runner.backend_settings import DownstreamCall, RouteDescription

__all__ = [
    "CANCELLI",
    "KETTERING",
    "SMALL_FLEET",
    "FleetDescription",
    "FleetRoute",
    "OrganisationDescription",
    "ServiceDescription",
    "make_declaration",
]


class FleetRoute(msgspec.Struct, frozen=True, kw_only=True):
    """A declared route and the work that its requests cause."""

    name: str
    path: str
    methods: tuple[str, ...] = ("GET",)
    open: bool = False
    mean_ms: float = 5.0
    distribution: str = "exponential"
    parallel: bool = False
    # (method, path, share) of each downstream call.
    calls: tuple[tuple[str, str, float], ...] = ()

    def to_route_description(self) -> RouteDescription:
        """Return the work of a backend server on this route."""
        return RouteDescription(
            path=self.path,
            mean_ms=self.mean_ms,
            distribution=self.distribution,
            parallel=self.parallel,
            calls=[
                DownstreamCall(method=method, path=path, share=share)
                for method, path, share in self.calls
            ],
        )


class ServiceDescription(msgspec.Struct, frozen=True, kw_only=True):
    """A service and its identical backend servers."""

    name: str
    servers: int
    slots: int
    connections: int
    routes: tuple[FleetRoute, ...]
    cold_start_s: float = 1.0
    # Requests beyond the slots that may wait at a server; further ones are shed.
    backlog: int = 8


class OrganisationDescription(msgspec.Struct, frozen=True, kw_only=True):
    """An organisation's rate in calls/s and burst in calls."""

    name: str
    rate: float
    burst: float
    weight: int = 1


class FleetDescription(msgspec.Struct, frozen=True, kw_only=True):
    """A fleet: its services, its organisations and their declaration."""

    name: str
    failure_domains: tuple[str, ...]
    services: tuple[ServiceDescription, ...]
    organisations: tuple[OrganisationDescription, ...]
    # Exceptions in the declaration, besides those made from the organisations.
    exceptions: tuple[dict[str, Any], ...] = ()
    deadline_ms: int = 2000
    extra_attempts: int = 2
    servers_per_process: int = 4

    def routes(self) -> list[FleetRoute]:
        return [route for service in self.services for route in service.routes]


def make_declaration(fleet: FleetDescription) -> dict[str, Any]:
    """Return the fleet's declaration as a table to be written as TOML."""
    rate_exceptions = [
        {
            "id": f"share-{organisation.name}",
            "reason": "agreed share of the organisation",
            "organisation": organisation.name,
            "rate": organisation.rate,
            "burst": organisation.burst,
            "weight": organisation.weight,
        }
        for organisation in fleet.organisations
    ]
    routes = [
        {
            "name": route.name,
            "service": service.name,
            "path": route.path,
            "methods": list(route.methods),
            "open": route.open,
        }
        for service in fleet.services
        for route in service.routes
    ]
    return {
        "version": 1,
        "failure_domains": list(fleet.failure_domains),
        "defaults": {
            "deadline_ms": fleet.deadline_ms,
            "extra_attempts": fleet.extra_attempts,
        },
        "routes": routes,
        "organisations": [{"name": o.name} for o in fleet.organisations],
        "exceptions": [*rate_exceptions, *fleet.exceptions],
    }


FAILURE_DOMAINS: Final = ("a", "b", "c")

PANTRY_ROUTES: Final = (
    FleetRoute(name="stock", path="/pantry/stock", open=True, mean_ms=8.0),
    FleetRoute(name="reserve", path="/pantry/reserve", methods=("POST",), mean_ms=6.0),
)

ORDERS_ROUTES: Final = (
    FleetRoute(
        name="restock",
        path="/orders/restock",
        methods=("POST",),
        open=True,
        mean_ms=10.0,
        calls=(("POST", "/pantry/reserve", 1.0), ("POST", "/dispatch/plan", 0.7)),
    ),
    FleetRoute(
        name="order-status",
        path="/orders/status",
        open=True,
        mean_ms=5.0,
        calls=(("GET", "/dispatch/track", 1.0),),
    ),
)

DISPATCH_ROUTES: Final = (
    FleetRoute(
        name="plan",
        path="/dispatch/plan",
        methods=("POST",),
        mean_ms=12.0,
        parallel=True,
        calls=(("POST", "/dropoff/slot", 1.0), ("GET", "/pantry/stock", 0.5)),
    ),
    FleetRoute(
        name="track",
        path="/dispatch/track",
        mean_ms=6.0,
        calls=(("GET", "/dropoff/where", 1.0),),
    ),
)

DROPOFF_ROUTES: Final = (
    FleetRoute(name="where", path="/dropoff/where", mean_ms=8.0),
    FleetRoute(
        name="slot",
        path="/dropoff/slot",
        methods=("POST",),
        mean_ms=15.0,
        calls=(("GET", "/pantry/stock", 0.3),),
    ),
)

KETTERING_EXCEPTIONS: Final[tuple[dict[str, Any], ...]] = (
    {
        "id": "orders-first",
        "reason": "a lost order costs a vendor the day",
        "route": "restock",
        "importance": "critical",
    },
    {
        "id": "stock-last",
        "reason": "carts show the stock of a minute ago when a reading is refused",
        "route": "stock",
        "importance": "background",
    },
)

# Eight organisations, two of them large.
KETTERING_ORGANISATIONS: Final = tuple(
    OrganisationDescription(name=f"cart-{number}", rate=rate, burst=2 * rate)
    for number, rate in enumerate((400.0, 300.0, 80.0, 60.0, 50.0, 40.0, 30.0, 20.0), 1)
)

KETTERING: Final = FleetDescription(
    name="kettering",
    failure_domains=FAILURE_DOMAINS,
    services=(
        ServiceDescription(
            name="pantry", servers=5, slots=70, connections=500, routes=PANTRY_ROUTES
        ),
        ServiceDescription(
            name="orders", servers=3, slots=90, connections=600, routes=ORDERS_ROUTES
        ),
        ServiceDescription(
            name="dispatch",
            servers=3,
            slots=90,
            connections=600,
            routes=DISPATCH_ROUTES,
        ),
        ServiceDescription(
            name="dropoff", servers=3, slots=30, connections=300, routes=DROPOFF_ROUTES
        ),
    ),
    organisations=KETTERING_ORGANISATIONS,
    exceptions=KETTERING_EXCEPTIONS,
)

VETRINA_ROUTES: Final = (
    FleetRoute(
        name="catalogue",
        path="/vetrina/catalogue",
        open=True,
        mean_ms=8.0,
        calls=(("GET", "/preventivi/quote", 0.4),),
    ),
    FleetRoute(
        name="order",
        path="/vetrina/order",
        methods=("POST",),
        open=True,
        mean_ms=10.0,
        calls=(("POST", "/fucina/order", 1.0),),
    ),
)

FUCINA_ROUTES: Final = (
    FleetRoute(
        name="forge-order",
        path="/fucina/order",
        methods=("POST",),
        open=True,
        mean_ms=20.0,
        calls=(("GET", "/preventivi/quote", 1.0), ("POST", "/preventivi/confirm", 1.0)),
    ),
    FleetRoute(name="forge-status", path="/fucina/status", open=True, mean_ms=8.0),
)

PREVENTIVI_ROUTES: Final = (
    FleetRoute(
        name="quote",
        path="/preventivi/quote",
        open=True,
        mean_ms=12.0,
        calls=(("GET", "/contabile/terms", 0.5),),
    ),
    FleetRoute(
        name="confirm",
        path="/preventivi/confirm",
        methods=("POST",),
        mean_ms=10.0,
        calls=(("POST", "/contabile/charge", 1.0),),
    ),
)

CONTABILE_ROUTES: Final = (
    FleetRoute(name="terms", path="/contabile/terms", mean_ms=6.0),
    FleetRoute(
        name="charge", path="/contabile/charge", methods=("POST",), mean_ms=25.0
    ),
)

CANCELLI: Final = FleetDescription(
    name="cancelli",
    failure_domains=FAILURE_DOMAINS,
    services=(
        ServiceDescription(
            name="vetrina", servers=4, slots=100, connections=700, routes=VETRINA_ROUTES
        ),
        ServiceDescription(
            name="fucina", servers=3, slots=140, connections=900, routes=FUCINA_ROUTES
        ),
        ServiceDescription(
            name="preventivi",
            servers=3,
            slots=140,
            connections=900,
            routes=PREVENTIVI_ROUTES,
        ),
        ServiceDescription(
            name="contabile",
            servers=3,
            slots=30,
            connections=300,
            routes=CONTABILE_ROUTES,
        ),
    ),
    organisations=tuple(
        OrganisationDescription(name=f"fabbro-{number}", rate=rate, burst=2 * rate)
        for number, rate in enumerate(
            (350.0, 250.0, 150.0, 60.0, 50.0, 40.0, 30.0, 20.0), 1
        )
    ),
    exceptions=(
        {
            "id": "charges-first",
            "reason": "a charge that fails late leaves a forged piece unpaid",
            "service": "contabile",
            "importance": "critical",
        },
        {
            "id": "catalogue-last",
            "reason": "the catalogue can be shown again a second later",
            "route": "catalogue",
            "importance": "background",
        },
    ),
)

# Three services, five servers: small enough for the demo and for tests.
SMALL_FLEET: Final = FleetDescription(
    name="small",
    failure_domains=FAILURE_DOMAINS,
    services=(
        ServiceDescription(
            name="pantry", servers=2, slots=12, connections=100, routes=PANTRY_ROUTES
        ),
        ServiceDescription(
            name="orders",
            servers=2,
            slots=16,
            connections=100,
            routes=(
                FleetRoute(
                    name="restock",
                    path="/orders/restock",
                    methods=("POST",),
                    open=True,
                    mean_ms=10.0,
                    calls=(
                        ("POST", "/pantry/reserve", 1.0),
                        ("POST", "/dropoff/slot", 0.5),
                    ),
                ),
                FleetRoute(
                    name="order-status",
                    path="/orders/status",
                    open=True,
                    calls=(("GET", "/dropoff/where", 1.0),),
                ),
            ),
        ),
        ServiceDescription(
            name="dropoff", servers=1, slots=12, connections=100, routes=DROPOFF_ROUTES
        ),
    ),
    organisations=(
        OrganisationDescription(name="cart-1", rate=60.0, burst=120.0),
        OrganisationDescription(name="cart-2", rate=30.0, burst=60.0),
        OrganisationDescription(name="cart-3", rate=20.0, burst=40.0),
        OrganisationDescription(name="cart-4", rate=20.0, burst=40.0),
    ),
    exceptions=KETTERING_EXCEPTIONS,
    servers_per_process=1,
)
