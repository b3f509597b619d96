"""Assembly of a node: listeners, metrics and background tasks."""

from heathermount.node.metrics import LatencyRecorder, Metrics, StateReaders
from heathermount.node.observe_app import ObserveApp

__all__ = ["LatencyRecorder", "Metrics", "ObserveApp", "StateReaders"]
