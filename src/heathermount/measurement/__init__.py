"""Measurements of latency, cost and policy, and their page."""
