"""Slopes, models and the page of the two-year size."""
