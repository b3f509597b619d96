"""Measures costs, extrapolates them to the two-year size and renders the page."""
