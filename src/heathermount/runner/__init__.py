"""Runs a fleet of local processes, and generates load on it."""
