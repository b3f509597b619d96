"""Simulated environment of the nodes: stores, backend servers and the platform."""
