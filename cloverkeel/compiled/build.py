"""Compile the hot modules with mypyc; cloverkeel/compiled/loader.py loads the result.

Needs mypy, setuptools and a C compiler.

    python -m cloverkeel.compiled.build [--folder DIR] [--check]

Exit code 0: a usable compiled build exists. 1: compilation failed, or --check found none; one line gives the reason.
A previous build is then either removed or still complete. An interrupted build leaves no stamp, and a build without a
stamp is not used.
"""

from __future__ import annotations

import argparse
import json
import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from cloverkeel.compiled import loader

ROOT = Path(loader.ROOT)
MODULES = (
    "cloverkeel.balancing.action_buffer",
    "cloverkeel.balancing.actions",
    "cloverkeel.balancing.affinity",
    "cloverkeel.balancing.attempt_sender",
    "cloverkeel.balancing.attempts",
    "cloverkeel.balancing.balancer",
    "cloverkeel.balancing.circuit_breaker",
    "cloverkeel.balancing.client_timeouts",
    "cloverkeel.balancing.concurrency_limit",
    "cloverkeel.balancing.endpoint_updates",
    "cloverkeel.balancing.endpoints",
    "cloverkeel.balancing.errors",
    "cloverkeel.balancing.events",
    "cloverkeel.balancing.expiry_scan",
    "cloverkeel.balancing.final_answers",
    "cloverkeel.balancing.fleet_outcomes",
    "cloverkeel.balancing.key_queues",
    "cloverkeel.balancing.latency_model",
    "cloverkeel.balancing.load_shedding",
    "cloverkeel.balancing.outlier_detection",
    "cloverkeel.balancing.peer_reports",
    "cloverkeel.balancing.request_lifecycle",
    "cloverkeel.balancing.request_timers",
    "cloverkeel.balancing.retry_budget",
    "cloverkeel.balancing.server_selection",
    "cloverkeel.balancing.settings",
    "cloverkeel.balancing.slow_start",
    "cloverkeel.balancing.slow_start_budget",
    "cloverkeel.balancing.subset",
    "cloverkeel.balancing.tenant_fairness",
    "cloverkeel.balancing.weight_controller",
    "cloverkeel.core.calls",
    "cloverkeel.core.chunk_buffer",
    "cloverkeel.core.clock",
    "cloverkeel.core.dispatcher",
    "cloverkeel.core.endpoint_updates",
    "cloverkeel.core.event_queue",
    "cloverkeel.core.gateway",
    "cloverkeel.core.input_scheduler",
    "cloverkeel.core.loop_timers",
    "cloverkeel.core.memory_account",
    "cloverkeel.core.messages",
    "cloverkeel.core.peer_resources",
    "cloverkeel.core.ports",
    "cloverkeel.core.request_table",
    "cloverkeel.core.list_batches",
    "cloverkeel.core.stall_detector",
    "cloverkeel.core.metrics",
    "cloverkeel.core.timers",
    "cloverkeel.frontends.http1.admission",
    "cloverkeel.frontends.http1.call_reader",
    "cloverkeel.frontends.http1.client_output",
    "cloverkeel.frontends.http1.client_transport",
    "cloverkeel.frontends.http1.connection",
    "cloverkeel.frontends.http1.context",
    "cloverkeel.frontends.http1.drain",
    "cloverkeel.frontends.http1.delivery_progress",
    "cloverkeel.frontends.http1.listener",
    "cloverkeel.frontends.http1.request_admission",
    "cloverkeel.frontends.http1.requests",
    "cloverkeel.frontends.http1.responses",
    "cloverkeel.frontends.http1.server",
    "cloverkeel.frontends.http1.streamed_response",
    "cloverkeel.frontends.http1.timeouts",
    "cloverkeel.protocols.http1",
    "cloverkeel.upstream.attempt",
    "cloverkeel.upstream.attempt_sender",
    "cloverkeel.upstream.connection",
    "cloverkeel.upstream.connection_pool",
    "cloverkeel.upstream.health_check",
    "cloverkeel.upstream.host",
    "cloverkeel.upstream.outcomes",
)
SETUP_TEMPLATE = """
from mypyc.build import mypycify
from setuptools import setup
setup(name="compiled", packages=[], ext_modules=mypycify({arguments!r}, opt_level="2"))
"""
# deploy/build.sh compiles in an environment with only mypy and its dependencies: mypy cannot resolve other libraries.
MYPY_OPTIONS = ("--config-file=", "--ignore-missing-imports")
COMPILE_TIMEOUT_S = 300.0
MAX_REASON_LENGTH = 300  # characters of a printed reason


class CompileError(Exception):
    """Compilation failed; the message is a one-line reason."""


def source_of(module: str) -> str:
    """Return the path of a module's source, relative to the project root."""
    return module.replace(".", "/") + ".py"


def run_mypyc(folder: Path, modules: Sequence[str]) -> None:
    """Run mypyc and the C compiler in a subprocess; raise CompileError with the last output line on failure."""
    setup = folder / "setup.py"
    setup.write_text(SETUP_TEMPLATE.format(arguments=[*MYPY_OPTIONS, *map(source_of, modules)]))
    command = [
        sys.executable, str(setup), "-q", "build_ext", "--build-lib", str(folder / "lib"),
        "--build-temp", str(folder / "temp"), "-j", str(min(4, os.cpu_count() or 1)),
    ]  # fmt: skip
    environment = os.environ | {loader.PLAIN_VARIABLE: "1", "MYPYPATH": ""}
    try:
        completed = subprocess.run(
            command, cwd=folder / "tree", env=environment, capture_output=True, text=True, timeout=COMPILE_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        raise CompileError(f"not finished after {COMPILE_TIMEOUT_S:.0f} s") from None
    if completed.returncode:
        lines = [line for line in (completed.stdout + completed.stderr).splitlines() if line.strip()]
        raise CompileError(lines[-1] if lines else f"exit code {completed.returncode}")


def find_libraries(folder: Path) -> dict[str, Path]:
    """Return the compiled libraries by module name; paths are relative to `folder`."""
    paths = sorted(folder.rglob("*" + loader.LIBRARY_SUFFIX))
    return {
        str(path.relative_to(folder)).removesuffix(loader.LIBRARY_SUFFIX).replace(os.sep, "."): path.relative_to(
            folder
        )
        for path in paths
    }


def compile_all(folder: Path, modules: Sequence[str] = MODULES) -> None:
    """Compile into `folder`: remove its previous content, move the libraries there, then write the stamp."""
    sources = {source_of(module): loader.digest(str(ROOT / source_of(module))) for module in modules}
    folder.parent.mkdir(parents=True, exist_ok=True)
    packages = sorted({module.partition(".")[0] for module in modules})
    files = [file for package in packages for file in (ROOT / package).rglob("*.py")]
    with tempfile.TemporaryDirectory(prefix=".compiling-", dir=folder.parent) as name:
        work = Path(name)
        for file in files:
            copy = work / "tree" / file.relative_to(ROOT)
            copy.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(file, copy)
        run_mypyc(work, modules)
        libraries = find_libraries(work / "lib")
        missing = set(modules) - set(libraries)
        if missing:
            raise CompileError(f"mypyc built no library for {', '.join(sorted(missing))}")
        shutil.rmtree(folder, ignore_errors=True)
        (work / "lib").rename(folder)
    sizes = {name: (str(path), (folder / path).stat().st_size) for name, path in libraries.items()}
    stamp = {"suffix": loader.LIBRARY_SUFFIX, "sources": sources, "modules": sizes}
    temporary = folder / (loader.STAMP_NAME + ".part")
    temporary.write_text(json.dumps(stamp, indent=1) + "\n")
    temporary.replace(folder / loader.STAMP_NAME)


def main(arguments: Sequence[str]) -> int:
    """Compile unless the existing build is usable, or only check it; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--folder", type=Path, default=Path(loader.COMPILED_FOLDER))
    parser.add_argument("--check", action="store_true", help="do not compile; only check for a usable build")
    options = parser.parse_args(arguments)
    try:
        missing = set(MODULES) - set(loader.read_stamp(str(options.folder)))
        if missing:
            raise loader.UnusableBuildError(f"{', '.join(sorted(missing))} not compiled")
        print("cloverkeel: already compiled from these sources")
        return 0
    except loader.UnusableBuildError as error:
        if options.check:
            print(f"cloverkeel: {error}")
            return 1
    try:
        compile_all(options.folder)
    except (CompileError, OSError) as error:
        print(f"cloverkeel: not compiled, the plain sources run: {str(error)[:MAX_REASON_LENGTH]}", file=sys.stderr)
        return 1
    print("cloverkeel: compiled")
    return 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
