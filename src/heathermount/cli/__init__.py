"""Command lines of the node daemon and of the operators."""
