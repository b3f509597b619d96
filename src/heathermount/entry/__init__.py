"""The side of a node that callers see: checks, limits, claims, choice of a server."""
