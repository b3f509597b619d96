"""Runs a fleet of real processes on one machine."""
