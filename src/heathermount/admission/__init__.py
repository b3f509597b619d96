"""Admission control: which requests run, wait or are refused under load."""

from heathermount.admission.concurrency_limit import AdaptiveLimit
from heathermount.admission.controller import AdmissionController
from heathermount.admission.early_rejection import ThresholdTable
from heathermount.admission.fairness import FairCohortScaler
from heathermount.admission.queue import RequestQueue
from heathermount.admission.rate_limit import ServerRateLimit
from heathermount.admission.requests import (
    AdmissionCounts,
    AdmissionRequest,
    DeadlinePassed,
    Draining,
    Permit,
    RunResult,
    Shed,
)
from heathermount.admission.shedding import ThresholdController

__all__ = [
    "AdaptiveLimit",
    "AdmissionController",
    "AdmissionCounts",
    "AdmissionRequest",
    "DeadlinePassed",
    "Draining",
    "FairCohortScaler",
    "Permit",
    "RequestQueue",
    "RunResult",
    "ServerRateLimit",
    "Shed",
    "ThresholdController",
    "ThresholdTable",
]
