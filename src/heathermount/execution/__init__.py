"""The side of a node that its backend server sees: admission, runs, drains."""
