"""Stand-ins of what surrounds the nodes, and the tools that run and check a fleet.

The modules that are commands (backend, caller, demo, soak) and those that use
them (fleet, loads, faults) are imported by their own names.
"""

from heathermount.standins.checks import (
    Drain,
    RunData,
    Share,
    Violation,
    Withdrawal,
    check_all,
)
from heathermount.standins.fleets import (
    CANCELLI,
    KETTERING,
    SMALL,
    FleetDescription,
    FleetRoute,
    OrganisationDescription,
    ServiceDescription,
    make_declaration,
)
from heathermount.standins.records import CallResult, RunOutcome, RunRecord

__all__ = [
    "CANCELLI",
    "KETTERING",
    "SMALL",
    "CallResult",
    "Drain",
    "FleetDescription",
    "FleetRoute",
    "OrganisationDescription",
    "RunData",
    "RunOutcome",
    "RunRecord",
    "ServiceDescription",
    "Share",
    "Violation",
    "Withdrawal",
    "check_all",
    "make_declaration",
]
