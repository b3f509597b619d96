"""Measures latency, node cost and overload policy, and renders the page."""
