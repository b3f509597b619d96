"""Settings of a node and the fleet's declaration."""
