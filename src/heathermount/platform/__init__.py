"""Adapter to the users' platform: names, formats and calls; it decides nothing."""

from heathermount.platform.daemon import run

__all__ = ["run"]
