"""Choice of the build that runs: modules that mypyc compiled from these sources, or the plain sources.

The compiled libraries are in the package's folder `_compiled`, with a stamp that is written last. They are used only
if the stamp matches this Python and the present sources and libraries; otherwise the sources run, and
`cloverkeel.balancing.BUILD` gives the reason. `cloverkeel.balancing` is loaded first, the other compiled modules on
request (`load`): a process that uses only the balancing package, such as the simulator's adapter, does not need them.
CLOVERKEEL_PLAIN=1 always selects the sources. This module writes nothing; cloverkeel/compiled/build.py does.
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

PLAIN_VARIABLE = "CLOVERKEEL_PLAIN"
PACKAGE_FOLDER = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ROOT = os.path.dirname(PACKAGE_FOLDER)
COMPILED_FOLDER = os.path.join(PACKAGE_FOLDER, "_compiled")
ROOT_PACKAGE = "cloverkeel"
BALANCING_PACKAGE = "cloverkeel.balancing"
STAMP_NAME = "stamp.json"
LIBRARY_SUFFIX = importlib.machinery.EXTENSION_SUFFIXES[0]  # includes the Python version and platform of a library


class UnusableBuildError(Exception):
    """The compiled build cannot be used; the message is a one-line reason."""


class CompiledFinder:
    """Import finder for compiled modules by full name, consulted before the finders of sources."""

    def __init__(self, files: Mapping[str, str]) -> None:
        self.files = files  # library path by module name

    def find_spec(
        self, fullname: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Return the spec of a compiled module, None for other modules. See `importlib.abc.MetaPathFinder`."""
        file = self.files.get(fullname)
        return importlib.util.spec_from_file_location(fullname, file) if file is not None else None


def digest(path: str) -> str:
    """Return the BLAKE2b digest (128 bits, hexadecimal) of a file's content."""
    with open(path, "rb") as file:
        return hashlib.blake2b(file.read(), digest_size=16).hexdigest()


def read_stamp(folder: str) -> dict[str, str]:
    """Return library paths by module name; raise UnusableBuildError if anything differs from the stamp."""
    try:
        with open(os.path.join(folder, STAMP_NAME), "rb") as file:
            stamp = json.load(file)
        if stamp["suffix"] != LIBRARY_SUFFIX:
            raise UnusableBuildError(f"compiled for {stamp['suffix']}, this is {LIBRARY_SUFFIX}")
        for source, expected_digest in stamp["sources"].items():
            if digest(os.path.join(ROOT, source)) != expected_digest:
                raise UnusableBuildError(f"{source} has changed since it was compiled")
        files = {name: os.path.join(folder, relative) for name, (relative, _) in stamp["modules"].items()}
        if not files:
            raise UnusableBuildError(f"{STAMP_NAME} names no module")
        for name, (_, size) in stamp["modules"].items():
            if os.path.getsize(files[name]) != size:
                raise UnusableBuildError(f"{files[name]} has the wrong size")
        return files
    except FileNotFoundError as error:
        if os.path.basename(str(error.filename)) == STAMP_NAME:
            raise UnusableBuildError("nothing was compiled") from None
        raise UnusableBuildError(f"{error.filename} is missing") from None
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        raise UnusableBuildError(f"{STAMP_NAME} cannot be read: {error!r}") from None


def install(folder: str = COMPILED_FOLDER, environment: Mapping[str, str] = os.environ) -> str:
    """Choose the build; return "compiled", or "plain: " and a one-line reason. Call before importing the modules."""
    if environment.get(PLAIN_VARIABLE, "0") not in ("", "0"):
        return f"plain: {PLAIN_VARIABLE} is set"
    try:
        files = read_stamp(folder)
    except UnusableBuildError as error:
        return f"plain: {error}"
    finder = CompiledFinder(files)
    sys.meta_path.insert(0, finder)
    return load(BALANCING_PACKAGE)


def is_loaded_with(module: str, package: str) -> bool:
    """Return whether `load(package)` covers this module; BALANCING_PACKAGE is loaded apart from ROOT_PACKAGE."""
    if package == ROOT_PACKAGE and module.startswith(BALANCING_PACKAGE + "."):
        return False
    return module.startswith(package + ".")


def load(package: str) -> str:
    """Load all compiled modules of a package; return "compiled", or "plain: " and a one-line reason.

    `package`: ROOT_PACKAGE or BALANCING_PACKAGE. Call before any of its modules is imported. A package without
    compiled modules is plain.
    """
    if package == ROOT_PACKAGE:
        importlib.import_module(BALANCING_PACKAGE)  # chooses the build; compiled and source modules must not be mixed
    finder = next((entry for entry in sys.meta_path if isinstance(entry, CompiledFinder)), None)
    if finder is None:
        return "plain: no compiled build is in use"
    names = [name for name in finder.files if is_loaded_with(name, package)]
    if not names:
        return f"plain: no module of {package} was compiled"
    loaded_before = set(sys.modules)
    try:
        for name in names:
            importlib.import_module(name)
    except Exception as error:
        # Loading a library may raise any exception; modules already loaded must not be mixed with sources.
        finder.files = {name: file for name, file in finder.files.items() if name not in names}
        if package == BALANCING_PACKAGE:
            sys.meta_path.remove(finder)  # the other modules are bound to its compiled classes
        for name in set(sys.modules) - loaded_before:
            if is_loaded_with(name, package):
                del sys.modules[name]
        return f"plain: {error}"
    return "compiled"
