"""Wheels: with the decisions compiled where that can be done, plain where not. All else is in pyproject.toml."""

from __future__ import annotations

import atexit
import os
import shutil
import sys
import tempfile
from functools import cache
from pathlib import Path

from setuptools import setup
from setuptools.command.bdist_wheel import bdist_wheel
from setuptools.command.build_py import build_py

sys.path.insert(0, str(Path(__file__).parent))
os.environ["CLOVERKEEL_PLAIN"] = "1"
from cloverkeel.compiled import build as compiling


@cache
def compiled() -> Path | None:
    """Where the compiled modules lie, or None; says which in one line."""
    folder = Path(tempfile.mkdtemp(prefix="cloverkeel-")) / "_compiled"
    atexit.register(shutil.rmtree, folder.parent, ignore_errors=True)
    try:
        compiling.compile_all(folder)
    except (compiling.CompileError, OSError) as error:
        print(f"cloverkeel: a plain wheel, not compiled: {str(error)[:300]}", file=sys.stderr)
        return None
    print("cloverkeel: a wheel with compiled decisions", file=sys.stderr)
    return folder


class Build(build_py):
    def run(self) -> None:
        super().run()
        folder = compiled()
        if folder is not None:
            target = Path(self.build_lib) / "cloverkeel" / "_compiled"
            shutil.rmtree(target, ignore_errors=True)
            shutil.copytree(folder, target)


class Wheel(bdist_wheel):
    def finalize_options(self) -> None:
        super().finalize_options()
        self.root_is_pure = compiled() is None  # a compiled one is for this Python and platform alone


setup(cmdclass={"build_py": Build, "bdist_wheel": Wheel})
