"""Wheel builds: with compiled modules if compilation succeeds, else plain. Other settings are in pyproject.toml."""

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
from cloverkeel.compiled import build as compiled_build


@cache
def compile_once() -> Path | None:
    """Compile; return the folder of the compiled modules, or None on failure. Print the outcome in one line."""
    folder = Path(tempfile.mkdtemp(prefix="cloverkeel-")) / "_compiled"
    atexit.register(shutil.rmtree, folder.parent, ignore_errors=True)
    try:
        compiled_build.compile_all(folder)
    except (compiled_build.CompileError, OSError) as error:
        print(f"cloverkeel: a plain wheel, not compiled: {str(error)[:300]}", file=sys.stderr)
        return None
    print("cloverkeel: a wheel with compiled decisions", file=sys.stderr)
    return folder


class BuildWithCompiledModules(build_py):
    def run(self) -> None:
        super().run()
        folder = compile_once()
        if folder is not None:
            target = Path(self.build_lib) / "cloverkeel" / "_compiled"
            shutil.rmtree(target, ignore_errors=True)
            shutil.copytree(folder, target)


class PlatformWheel(bdist_wheel):
    def finalize_options(self) -> None:
        super().finalize_options()
        self.root_is_pure = compile_once() is None  # a compiled wheel fits only this Python and platform


setup(cmdclass={"build_py": BuildWithCompiledModules, "bdist_wheel": PlatformWheel})
