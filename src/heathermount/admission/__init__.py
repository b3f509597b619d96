"""Decisions which requests run, wait or are refused under load."""

from heathermount.admission.controller import AdmissionController
from heathermount.admission.limit import AdaptiveLimit
from heathermount.admission.queue import TicketQueue
from heathermount.admission.shares import FairCohorts
from heathermount.admission.shedding import SheddingControl
from heathermount.admission.thresholds import ThresholdTable
from heathermount.admission.tickets import (
    AdmissionCounts,
    DeadlinePassed,
    Draining,
    Permit,
    RunResult,
    Shed,
    Ticket,
)

__all__ = [
    "AdaptiveLimit",
    "AdmissionCounts",
    "AdmissionController",
    "DeadlinePassed",
    "Draining",
    "FairCohorts",
    "Permit",
    "RunResult",
    "Shed",
    "SheddingControl",
    "ThresholdTable",
    "Ticket",
    "TicketQueue",
]
