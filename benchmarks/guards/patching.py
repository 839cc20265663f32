"""Tools of the mutants: replace an attribute, or recompile a function with parts of its source replaced.

The text to replace must occur exactly once: if the source has changed, the mutant fails instead of changing nothing.
"""

from __future__ import annotations

import inspect
import sys
import textwrap
from collections.abc import Callable
from typing import Any

Patch = Callable[[], None]
PATCH_BY_MUTANT: dict[str, Patch] = {}


def mutant(name: str) -> Callable[[Patch], Patch]:
    """Register the decorated function as the patch of this mutant."""

    def register(patch: Patch) -> Patch:
        assert name not in PATCH_BY_MUTANT
        PATCH_BY_MUTANT[name] = patch
        return patch

    return register


def patch_attribute(owner: Any, name: str, value: Any) -> Any:
    """Replace an existing attribute; return its previous value."""
    old = inspect.getattr_static(owner, name)
    setattr(owner, name, value)
    return old


def patch_source(owner: Any, name: str, *replacements: tuple[str, str]) -> None:
    """Recompile a function with texts of its source replaced; raise SystemExit if one does not occur once."""
    function = inspect.getattr_static(owner, name)
    source = textwrap.dedent(inspect.getsource(function))
    for old, new in replacements:
        if source.count(old) != 1:
            raise SystemExit(f"mutant: {owner.__name__}.{name}: expected {old!r} once, found {source.count(old)}")
        source = source.replace(old, new)
    module = sys.modules[function.__module__]
    namespace: dict[str, Any] = {}
    exec(compile(source, f"<mutated {name}>", "exec"), module.__dict__, namespace)
    setattr(owner, name, namespace[name])
