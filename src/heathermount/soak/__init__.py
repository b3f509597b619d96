"""Randomised runs of a fleet under faults, and the checks of its guarantees."""
