"""How a mutant is made: a function of the running program is replaced, or compiled anew with a line changed.

A line that is to be replaced must be there just once: when the sources change, the mutant fails loudly instead of
changing nothing.
"""

from __future__ import annotations

import inspect
import sys
import textwrap
from collections.abc import Callable
from typing import Any

Patch = Callable[[], None]
GUARDS: dict[str, Patch] = {}


def entry(name: str) -> Callable[[Patch], Patch]:
    def register(patch: Patch) -> Patch:
        assert name not in GUARDS
        GUARDS[name] = patch
        return patch

    return register


def swap(owner: Any, name: str, made: Any) -> Any:
    """Put something in the place of an attribute that is there; returns what it was."""
    old = inspect.getattr_static(owner, name)
    setattr(owner, name, made)
    return old


def cut(owner: Any, name: str, *pieces: tuple[str, str]) -> None:
    """Compile a function anew with pieces of its source replaced."""
    function = inspect.getattr_static(owner, name)
    source = textwrap.dedent(inspect.getsource(function))
    for old, new in pieces:
        if source.count(old) != 1:
            raise SystemExit(f"maimed: {owner.__name__}.{name}: expected {old!r} once, found {source.count(old)}")
        source = source.replace(old, new)
    module = sys.modules[function.__module__]
    made: dict[str, Any] = {}
    exec(compile(source, f"<maimed {name}>", "exec"), module.__dict__, made)
    setattr(owner, name, made[name])
