"""Durations written as a number and a unit, such as "1500ms" or "2.5s"."""

import re
from typing import Final

__all__ = ["parse_duration"]

DURATION_PATTERN: Final = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")


def parse_duration(text: str) -> float:
    """Return a duration in seconds; raise ValueError if the text is malformed."""
    match = DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(f'{text!r} is no duration; write it like "1500ms" or "2.5s"')
    number = float(match[1])
    return number / 1000 if match[2] == "ms" else number
