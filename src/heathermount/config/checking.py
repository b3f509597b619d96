"""Complete checks of TOML tables: all problems are found in one pass."""

import tomllib
import types
from pathlib import Path
from typing import Any, TypeVar, Union, get_args, get_origin

import msgspec

from heathermount.errors import ConfigurationProblem

__all__ = ["TableChecker", "load_toml"]

Table = TypeVar("Table", bound=msgspec.Struct)


def load_toml(path: str) -> dict[str, Any]:
    """Read a TOML file; raise an exception group of ConfigurationProblem."""
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        problem = ConfigurationProblem(
            path, "file", str(error.strerror), "name a file that can be read"
        )
    except (ValueError, RecursionError) as error:
        # Besides its own errors the parser raises a plain ValueError for numbers
        # of thousands of digits and a RecursionError for deeply nested arrays.
        problem = ConfigurationProblem(path, "file", str(error), "correct the TOML")
    raise ExceptionGroup("invalid file", [problem])


class TableChecker:
    """Converts tables to structs and collects the problems of a whole file."""

    __slots__ = ("problems", "source")

    def __init__(self, source: str) -> None:
        self.source = source
        self.problems: list[ConfigurationProblem] = []

    def add(self, key: str, problem: str, remedy: str) -> None:
        self.problems.append(ConfigurationProblem(self.source, key, problem, remedy))

    def convert(self, table: Any, kind: type[Table], prefix: str) -> Table | None:
        """Return the table as a struct, or None after noting its problems."""
        known = len(self.problems)
        if not isinstance(table, dict):
            self.add(prefix, f"is {table!r}", "write it as a table")
            return None
        fields = {field.name: field for field in msgspec.structs.fields(kind)}
        for name in sorted(table.keys() - fields.keys()):
            choices = ", ".join(sorted(fields))
            self.add(
                join_key(prefix, name), "is unknown", f"remove it or use: {choices}"
            )
        values: dict[str, Any] = {}
        for name, field in fields.items():
            key = join_key(prefix, name)
            if name not in table:
                if field.required:
                    self.add(key, "is missing", f"set it to {describe(field.type)}")
                continue
            try:
                values[name] = msgspec.convert(table[name], field.type, strict=True)
            except msgspec.ValidationError as error:
                self.add(
                    key,
                    f"is {table[name]!r} ({error})",
                    f"set it to {describe(field.type)}",
                )
        if len(self.problems) > known:
            return None
        return kind(**values)

    def convert_sections(
        self, config: dict[str, Any], kinds: dict[str, type[msgspec.Struct]]
    ) -> dict[str, Any]:
        """Return each section as a struct, None for one that has problems."""
        for name in sorted(config.keys() - kinds.keys()):
            choices = ", ".join(sorted(kinds))
            self.add(name, "is unknown", f"remove it or use: {choices}")
        return {
            name: self.convert(config.get(name, {}), kind, name)
            for name, kind in kinds.items()
        }

    def finish(self) -> None:
        """Raise an exception group when any problem was found."""
        if self.problems:
            raise ExceptionGroup(f"{self.source} is invalid", self.problems)


def join_key(prefix: str, name: str) -> str:
    return f"{prefix}.{name}" if prefix else name


def describe(kind: Any) -> str:
    """Describe the values a field takes, for a remedy."""
    if get_origin(kind) in (Union, types.UnionType):
        return " or ".join(describe(part) for part in get_args(kind))
    if get_origin(kind) is list:
        return f"a list of {describe(get_args(kind)[0])}"
    names = {
        str: "a string",
        int: "a whole number",
        float: "a number",
        bool: "true or false",
        type(None): "nothing",
    }
    return names.get(kind, str(getattr(kind, "__name__", kind)))
