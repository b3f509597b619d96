"""Protocol between the system's own processes."""
