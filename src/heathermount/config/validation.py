"""Validation of TOML tables that reports all problems of a file at once."""

import tomllib
import types
from pathlib import Path
from typing import Any, TypeVar, Union, get_args, get_origin

import msgspec

from heathermount.errors import ConfigurationProblem

__all__ = ["TableValidator", "load_toml"]

Table = TypeVar("Table", bound=msgspec.Struct)


def load_toml(path: str) -> dict[str, Any]:
    """Read a TOML file.

    Raises an ExceptionGroup of ConfigurationProblem when it cannot be read or parsed.
    """
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        problem = ConfigurationProblem(
            path, "file", str(error.strerror), "specify a readable file"
        )
    except (ValueError, RecursionError) as error:
        # tomllib also raises a plain ValueError for integers of thousands of digits
        # and a RecursionError for deeply nested arrays.
        problem = ConfigurationProblem(path, "file", str(error), "correct the TOML")
    raise ExceptionGroup("invalid file", [problem])


class TableValidator:
    """Converts TOML tables to structs and collects all problems of a file."""

    __slots__ = ("problems", "source")

    def __init__(self, source: str) -> None:
        self.source = source
        self.problems: list[ConfigurationProblem] = []

    def add_problem(self, key: str, problem: str, remedy: str) -> None:
        self.problems.append(ConfigurationProblem(self.source, key, problem, remedy))

    def convert(
        self, table: Any, struct_type: type[Table], prefix: str
    ) -> Table | None:
        """Return the table as a struct; add its problems and return None if invalid."""
        problems_before = len(self.problems)
        if not isinstance(table, dict):
            self.add_problem(prefix, f"is {table!r}", "write it as a table")
            return None
        fields = {field.name: field for field in msgspec.structs.fields(struct_type)}
        for name in sorted(table.keys() - fields.keys()):
            choices = ", ".join(sorted(fields))
            self.add_problem(
                join_key(prefix, name), "is unknown", f"remove it or use: {choices}"
            )
        values: dict[str, Any] = {}
        for name, field in fields.items():
            key = join_key(prefix, name)
            if name not in table:
                if field.required:
                    self.add_problem(
                        key, "is missing", f"set it to {describe_type(field.type)}"
                    )
                continue
            try:
                values[name] = msgspec.convert(table[name], field.type, strict=True)
            except msgspec.ValidationError as error:
                self.add_problem(
                    key,
                    f"is {table[name]!r} ({error})",
                    f"set it to {describe_type(field.type)}",
                )
        if len(self.problems) > problems_before:
            return None
        return struct_type(**values)

    def convert_sections(
        self, config: dict[str, Any], struct_types: dict[str, type[msgspec.Struct]]
    ) -> dict[str, Any]:
        """Return each section as a struct, or None for an invalid section."""
        for name in sorted(config.keys() - struct_types.keys()):
            choices = ", ".join(sorted(struct_types))
            self.add_problem(name, "is unknown", f"remove it or use: {choices}")
        return {
            name: self.convert(config.get(name, {}), struct_type, name)
            for name, struct_type in struct_types.items()
        }

    def raise_problems(self) -> None:
        """Raise an ExceptionGroup of all problems, if there are any."""
        if self.problems:
            raise ExceptionGroup(f"{self.source} is invalid", self.problems)


def join_key(prefix: str, name: str) -> str:
    return f"{prefix}.{name}" if prefix else name


def describe_type(field_type: Any) -> str:
    """Return the values a field accepts, in words for an error message."""
    if get_origin(field_type) in (Union, types.UnionType):
        return " or ".join(describe_type(part) for part in get_args(field_type))
    if get_origin(field_type) is list:
        return f"a list of {describe_type(get_args(field_type)[0])}"
    descriptions = {
        str: "a string",
        int: "a whole number",
        float: "a number",
        bool: "true or false",
        type(None): "nothing",
    }
    return descriptions.get(
        field_type, str(getattr(field_type, "__name__", field_type))
    )
