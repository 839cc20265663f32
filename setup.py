"""Builds wheels with compiled modules, or without if compilation fails. Other settings are in pyproject.toml."""

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
    """Return the folder of the compiled modules, or None if compilation failed. Print the outcome in one line."""
    folder = Path(tempfile.mkdtemp(prefix="cloverkeel-")) / "_compiled"
    atexit.register(shutil.rmtree, folder.parent, ignore_errors=True)
    try:
        compiled_build.compile_all(folder)
    except (compiled_build.CompileError, OSError) as error:
        print(f"cloverkeel: wheel without compiled modules: {str(error)[:300]}", file=sys.stderr)
        return None
    print("cloverkeel: wheel with compiled modules", file=sys.stderr)
    return folder


class BuildWithCompiledModules(build_py):
    """Adds the compiled modules to the build."""

    def run(self) -> None:
        super().run()
        folder = compile_once()
        if folder is not None:
            target = Path(self.build_lib) / "cloverkeel" / "_compiled"
            shutil.rmtree(target, ignore_errors=True)
            shutil.copytree(folder, target)


class PlatformWheel(bdist_wheel):
    """Names the platform of a wheel that has compiled modules."""

    def finalize_options(self) -> None:
        super().finalize_options()
        self.root_is_pure = compile_once() is None  # compiled modules work only with this Python version and platform


setup(cmdclass={"build_py": BuildWithCompiledModules, "bdist_wheel": PlatformWheel})
