"""Execution side of a node: admission, calls to the backend server, drains."""
