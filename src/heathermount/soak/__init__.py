"""Soak tests: random faults in a running fleet, and checks of its guarantees."""
