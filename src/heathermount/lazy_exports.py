"""Re-exports that are imported on first use.

A process that uses one module of a package does not pay the start-up time and
the memory of the others.
"""

import importlib
from collections.abc import Callable, Mapping
from typing import Any

__all__ = ["make_lazy_exports"]


def make_lazy_exports(
    package: str, modules: Mapping[str, list[str]]
) -> Callable[[str], Any]:
    """Return a package's `__getattr__` for names by the module that has them."""
    module_by_name = {
        name: module for module, names in modules.items() for name in names
    }

    def get_export(name: str) -> Any:
        if name not in module_by_name:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(module_by_name[name]), name)

    return get_export
