"""Stand-ins of what surrounds the nodes: stores, backend servers, the platform."""
