"""Choose which build of the decisions runs: one that mypyc compiled from these sources, or the sources themselves.

The compiled libraries lie in the package's folder `_compiled`, with a stamp that is written last. They are used where
the stamp names this Python, and the sources and libraries that are there now; else the sources run, and
`cloverkeel.balancing.BUILD` says why. The decisions are loaded first, the rest of the program when that is asked for
(`load`): a process that only decides, such as the simulator's adapter, has no need of it.
CLOVERKEEL_PLAIN=1 makes the sources run in any case. Nothing is written here: cloverkeel/compiled/build.py does that.
"""

from __future__ import annotations

import hashlib
import importlib.machinery
import importlib.util
import json
import os
import sys
from collections.abc import Mapping, Sequence
from types import ModuleType

PLAIN = "CLOVERKEEL_PLAIN"
PACKAGE = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ROOT = os.path.dirname(PACKAGE)
FOLDER = os.path.join(PACKAGE, "_compiled")
PROGRAM = "cloverkeel"
DECISIONS = "cloverkeel.balancing"
STAMP = "stamp.json"
SUFFIX = importlib.machinery.EXTENSION_SUFFIXES[0]  # names the Python and the platform that a library is for


class UnusableError(Exception):
    """Raise where what was compiled is not to be used; the message says why."""


class Finder:
    """Find compiled modules by their full names, ahead of their sources."""

    def __init__(self, files: Mapping[str, str]) -> None:
        self.files = files

    def find_spec(
        self, fullname: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Return the spec of a compiled module, or None for any other; the protocol of `importlib.abc`."""
        file = self.files.get(fullname)
        return importlib.util.spec_from_file_location(fullname, file) if file is not None else None


def digest(path: str) -> str:
    """Return the digest of a file's content."""
    with open(path, "rb") as file:
        return hashlib.blake2b(file.read(), digest_size=16).hexdigest()


def read_stamp(folder: str) -> dict[str, str]:
    """Return module names and the files of their libraries; UnusableError where anything differs from the stamp."""
    try:
        with open(os.path.join(folder, STAMP), "rb") as file:
            stamp = json.load(file)
        if stamp["suffix"] != SUFFIX:
            raise UnusableError(f"compiled for {stamp['suffix']}, this is {SUFFIX}")
        for source, was in stamp["sources"].items():
            if digest(os.path.join(ROOT, source)) != was:
                raise UnusableError(f"{source} has changed since it was compiled")
        files = {name: os.path.join(folder, relative) for name, (relative, _) in stamp["modules"].items()}
        if not files:
            raise UnusableError(f"{STAMP} names no module")
        for name, (_, size) in stamp["modules"].items():
            if os.path.getsize(files[name]) != size:
                raise UnusableError(f"{files[name]} is not whole")
        return files
    except FileNotFoundError as error:
        if os.path.basename(str(error.filename)) == STAMP:
            raise UnusableError("nothing was compiled") from None
        raise UnusableError(f"{error.filename} is missing") from None
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        raise UnusableError(f"{STAMP} cannot be read: {error!r}") from None


def install(folder: str = FOLDER, environment: Mapping[str, str] = os.environ) -> str:
    """Choose; returns "compiled" or why the sources run, in one line. Call it before the modules are imported."""
    if environment.get(PLAIN, "0") not in ("", "0"):
        return f"plain: {PLAIN} is set"
    try:
        files = read_stamp(folder)
    except UnusableError as error:
        return f"plain: {error}"
    finder = Finder(files)
    sys.meta_path.insert(0, finder)
    return load(DECISIONS)


def belongs_to(module: str, package: str) -> bool:
    """Tell whether a module is loaded with this package; the decisions are a group of their own in the program."""
    if package == PROGRAM and module.startswith(DECISIONS + "."):
        return False
    return module.startswith(package + ".")


def load(package: str) -> str:
    """Load all compiled modules of PROGRAM or DECISIONS; "compiled", or why the sources run, in one line.

    Call it before any of them is imported. A package that has none is plain.
    """
    if package == PROGRAM:
        importlib.import_module(DECISIONS)  # chooses the build: sources must not be mixed with what is compiled
    finder = next((found for found in sys.meta_path if isinstance(found, Finder)), None)
    if finder is None:
        return "plain: no compiled build is in use"
    names = [name for name in finder.files if belongs_to(name, package)]
    if not names:
        return f"plain: nothing of {package} was compiled"
    before = set(sys.modules)
    try:
        for name in names:
            importlib.import_module(name)
    except Exception as error:
        # Whatever a library does when it is loaded: what came of it must not be mixed with the sources.
        finder.files = {name: file for name, file in finder.files.items() if name not in names}
        if package == DECISIONS:
            sys.meta_path.remove(finder)  # the others are bound to its compiled classes
        for name in set(sys.modules) - before:
            if belongs_to(name, package):
                del sys.modules[name]
        return f"plain: {error}"
    return "compiled"
