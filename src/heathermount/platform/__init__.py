"""Adapter to the users' platform: its names, formats and calls, without any policy."""

from heathermount.platform.daemon import run

__all__ = ["run"]
