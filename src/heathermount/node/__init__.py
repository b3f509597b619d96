"""Assembly of one node: listeners, metrics and background tasks."""

from heathermount.node.metrics import LatencyRecorder, Metrics, Readings
from heathermount.node.observer import Observer

__all__ = ["LatencyRecorder", "Metrics", "Observer", "Readings"]
