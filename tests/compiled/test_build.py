"""The choice between the compiled build and the plain sources, and their equivalence."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
from pathlib import Path
from typing import Any, get_type_hints

import pytest

from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.differential import compare_builds
from benchmarks.streams import EventStream, digest
from cloverkeel.compiled import build as compiled_build
from cloverkeel.compiled import loader
from cloverkeel.balancing.events import ListedServer
from cloverkeel.balancing.settings import Settings
from cloverkeel.simulator.settings_codec import WireError, parse_settings
from cloverkeel.core.config import Names
from cloverkeel.discovery.endpoint_parser import parse_endpoint

ROOT = Path(__file__).parent.parent.parent
SOURCE = "cloverkeel/balancing/balancer.py"


def write_build(folder: Path, library: bytes = b"no library at all", **changed: object) -> Path:
    """Write the folder of a finished build, with one library that cannot be loaded."""
    folder.mkdir(exist_ok=True)
    (folder / "x.so").write_bytes(library)
    stamp = {
        "suffix": loader.LIBRARY_SUFFIX, "sources": {SOURCE: loader.digest(str(ROOT / SOURCE))},
        "modules": {"cloverkeel.balancing.nothing": ["x.so", len(library)]},
    }  # fmt: skip
    (folder / loader.STAMP_NAME).write_text(json.dumps(stamp | changed))
    return folder


def unusable_reason(folder: Path) -> str:
    """Return why a build is not used."""
    with pytest.raises(loader.UnusableBuildError) as raised:
        loader.read_stamp(str(folder))
    return str(raised.value)


def test_a_build_is_used_only_if_it_matches_the_sources_and_this_python(tmp_path: Path) -> None:
    assert unusable_reason(tmp_path) == "nothing was compiled"
    folder = write_build(tmp_path)
    assert loader.read_stamp(str(folder)) == {"cloverkeel.balancing.nothing": str(folder / "x.so")}
    write_build(tmp_path, suffix=".cpython-39-x86_64-linux-gnu.so")
    assert "compiled for .cpython-39" in unusable_reason(tmp_path)
    write_build(tmp_path, sources={SOURCE: "0" * 32})
    assert unusable_reason(tmp_path) == f"{SOURCE} has changed since it was compiled"
    write_build(tmp_path, sources={"cloverkeel/balancing/gone.py": "0" * 32})
    assert "gone.py is missing" in unusable_reason(tmp_path)
    write_build(tmp_path, sources={}, modules={})
    assert unusable_reason(tmp_path) == "stamp.json names no module"
    write_build(tmp_path)
    (tmp_path / "x.so").write_bytes(b"cut off")
    assert "has the wrong size" in unusable_reason(tmp_path)
    (tmp_path / "x.so").unlink()
    assert "x.so is missing" in unusable_reason(tmp_path)


@settings(max_examples=100, deadline=None)
@given(st.binary(max_size=60) | st.recursive(st.none() | st.integers() | st.text(max_size=4), lambda inner: st.lists(
    inner, max_size=3) | st.dictionaries(st.sampled_from(["suffix", "sources", "modules"]), inner)).map(
    lambda value: json.dumps(value).encode()))  # fmt: skip
def test_a_stamp_of_any_content_never_fails_the_import(
    tmp_path_factory: pytest.TempPathFactory, content: bytes
) -> None:
    folder = tmp_path_factory.mktemp("stamp")
    (folder / loader.STAMP_NAME).write_bytes(content)
    assert loader.install(str(folder), {}).startswith("plain: ")


def test_the_sources_run_if_a_library_cannot_be_loaded(tmp_path: Path) -> None:
    before, finders = set(sys.modules), list(sys.meta_path)
    assert "plain: " in loader.install(str(write_build(tmp_path)), {})
    assert sys.meta_path == finders and "cloverkeel.balancing.nothing" not in set(sys.modules) - before


def test_a_package_runs_from_source_if_one_module_cannot_be_loaded(tmp_path: Path) -> None:
    (tmp_path / "x.so").write_bytes(b"no library at all")
    files = {"cloverkeel.nothing": str(tmp_path / "x.so"), "cloverkeel.balancing.other": "kept"}
    finder, before = loader.CompiledFinder(files), dict(sys.modules)
    sys.meta_path.insert(0, finder)
    try:
        assert loader.load("cloverkeel").startswith("plain: ")
        assert finder.files == {"cloverkeel.balancing.other": "kept"} and finder in sys.meta_path
        assert loader.load("cloverkeel") == "plain: no module of cloverkeel was compiled"
    finally:
        sys.meta_path.remove(finder)
    assert sys.modules == before


LOAD_FIRST = """
import sys
from cloverkeel.compiled import loader
from cloverkeel.compiled.build import MODULES
loader.load("cloverkeel")
import cloverkeel.assembly
print(sorted({str(sys.modules[name].__file__).endswith(".py") for name in MODULES if name in sys.modules}))
"""


@pytest.mark.parametrize("plain", ["0", "1"])
def test_loading_the_root_package_first_does_not_mix_compiled_and_source_modules(plain: str) -> None:
    """Such a process crashed: modules imported before `cloverkeel.balancing` were sources, later ones compiled."""
    completed = subprocess.run(
        [sys.executable, "-c", LOAD_FIRST], cwd=ROOT, env=os.environ | {loader.PLAIN_VARIABLE: plain},
        capture_output=True, text=True, check=True,
    )  # fmt: skip
    assert len(completed.stdout.split(",")) == 1
    assert plain == "0" or completed.stdout.strip() == "[True]"


def test_the_sources_run_if_the_environment_variable_is_set(tmp_path: Path) -> None:
    finders = list(sys.meta_path)
    assert (
        loader.install(str(write_build(tmp_path)), {loader.PLAIN_VARIABLE: "1"})
        == f"plain: {loader.PLAIN_VARIABLE} is set"
    )
    assert sys.meta_path == finders
    code = "import cloverkeel.balancing.balancer as b; print(cloverkeel.balancing.BUILD, b.__file__)"
    command = [sys.executable, "-c", code]
    completed = subprocess.run(
        [*command[:2], "import cloverkeel.balancing; " + command[2]], cwd=ROOT,
        env=os.environ | {loader.PLAIN_VARIABLE: "1"}, capture_output=True, text=True, check=True,
    )  # fmt: skip
    assert completed.stdout.startswith("plain: ") and completed.stdout.strip().endswith("balancer.py")


def test_compilation_needs_no_library_except_mypy() -> None:
    """deploy/build.sh compiles in an environment without the gateway's dependencies."""
    command = [
        sys.executable,
        "-m",
        "mypy",
        "--no-site-packages",
        "--cache-dir",
        os.devnull,
        *compiled_build.MYPY_OPTIONS,
    ]
    completed = subprocess.run(
        [*command, *map(compiled_build.source_of, compiled_build.MODULES)], cwd=ROOT, capture_output=True, text=True,
        check=False,
    )  # fmt: skip
    assert completed.returncode == 0, completed.stdout


def test_a_failing_compiler_prints_one_line_and_leaves_no_stamp(tmp_path: Path) -> None:
    folder = tmp_path / "compiled"
    completed = subprocess.run(
        [sys.executable, "-m", "cloverkeel.compiled.build", "--folder", str(folder)], cwd=ROOT,
        env=os.environ | {"CC": "false", loader.PLAIN_VARIABLE: "1"}, capture_output=True, text=True, check=False,
    )  # fmt: skip
    assert completed.returncode == 1 and not folder.exists() and not list(tmp_path.iterdir())
    assert completed.stderr.count("\n") == 1 and "not compiled, the plain sources run" in completed.stderr


def test_a_build_interrupted_before_its_stamp_is_not_used(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def write_empty_libraries(work: Path, modules: object) -> None:
        for module in compiled_build.MODULES:
            file = work / "lib" / (module.replace(".", "/") + loader.LIBRARY_SUFFIX)
            file.parent.mkdir(parents=True, exist_ok=True)
            file.write_bytes(b"")

    def interrupt(self: Path, text: str) -> int:
        raise KeyboardInterrupt

    monkeypatch.setattr(compiled_build, "run_mypyc", write_empty_libraries)
    folder = write_build(tmp_path / "compiled")  # from an earlier build
    monkeypatch.setattr(Path, "write_text", interrupt)
    with pytest.raises(KeyboardInterrupt):
        compiled_build.compile_all(folder)
    monkeypatch.undo()
    assert unusable_reason(folder) == "nothing was compiled" and len(list(folder.rglob("*.so"))) == len(
        compiled_build.MODULES
    )


PYTHON_STUB = """#!/bin/sh
mkdir -p "$3/bin"
printf '#!/bin/sh\ncase "$*" in *compile.txt*) exit 1;; esac\n' >"$3/bin/pip"
printf '#!/bin/sh\ncase "$*" in *cloverkeel.compiled.build*) exit 1;; esac\n' >"$3/bin/python"
chmod +x "$3/bin/pip" "$3/bin/python"
"""


def test_a_failed_environment_is_not_marked_as_finished(tmp_path: Path) -> None:
    """A failed installation of mypy was marked as finished and never retried."""
    (tmp_path / "deploy").mkdir()
    for name in ("deploy/build.sh", "deploy/compile.txt", "requirements.txt"):
        shutil.copyfile(ROOT / name, tmp_path / name)
    (tmp_path / "bin").mkdir()
    (tmp_path / "bin" / "python3").write_text(PYTHON_STUB)
    (tmp_path / "bin" / "python3").chmod(0o755)
    path = f"{tmp_path / 'bin'}:{os.environ['PATH']}"
    completed = subprocess.run(
        ["sh", "deploy/build.sh"], cwd=tmp_path, env=os.environ | {"PATH": path}, capture_output=True, text=True,
        timeout=60, check=True,
    )  # fmt: skip
    assert "the plain sources run" in completed.stdout
    assert (tmp_path / ".venv/built").exists() and not (tmp_path / ".venv-compile/built").exists()


# Types of values: compiled code raises on a value of a wrong type


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=2), inner, max_size=2), max_leaves=4,
)  # fmt: skip
ENDPOINT = {"name": "s", "address": "127.0.0.1:9", "status": "SERVING", "weight": 1.0, "zone": "a", "type": "m",
         "group": 0, "since_ms": 5}  # fmt: skip
REQUEST_CLASS = {"name": "x", "effect": "free", "group": "all", "giveUpUs": 900_000, "aimUs": 300_000, "value": 1.0}
SETTINGS = {
    "lanes": [REQUEST_CLASS],
    "balancers": 3,
    "index": 1,
    "zone": 0,
    "overShareWorth": 0.5,
    "tenants": [{"name": "t"}],
}


def mistyped_fields(value: object) -> list[str]:
    """Return fields whose value is not of the annotated type: plain Python accepts them, compiled code raises."""
    names = []
    for name, hint in get_type_hints(type(value)).items():
        if hint in (int, float, bool, str) and not isinstance(getattr(value, name), hint):
            names.append(f"{type(value).__name__}.{name}")
    return names


@settings(max_examples=300, deadline=None)
@given(st.dictionaries(st.sampled_from(sorted(ENDPOINT)), JSON, max_size=3))
def test_no_endpoint_list_gives_an_entry_with_wrong_types(changes: dict[str, Any]) -> None:
    try:
        entry = parse_endpoint(ENDPOINT | changes, Names({}, {}, {"a": 0}, {"m": 0}))
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
        return  # the product skips and logs such an entry
    assert isinstance(entry.listed, ListedServer) and not mistyped_fields(entry.listed)


@settings(max_examples=300, deadline=None)
@given(st.dictionaries(st.sampled_from(sorted(SETTINGS)), JSON, max_size=2),
       st.dictionaries(st.sampled_from(sorted(REQUEST_CLASS)), JSON, max_size=2))  # fmt: skip
def test_no_configuration_gives_settings_with_wrong_types(
    changes: dict[str, Any], class_changes: dict[str, Any]
) -> None:
    try:
        parsed = parse_settings(json.dumps(SETTINGS | {"lanes": [REQUEST_CLASS | class_changes]} | changes))
    except WireError:
        return  # the gateway prints it in one line at startup and exits with 2
    assert isinstance(parsed, Settings)
    assert not mistyped_fields(parsed) + [field for class_ in parsed.classes for field in mistyped_fields(class_)]


# Equivalence of both builds


def test_a_stream_is_reproducible_and_its_digest_depends_on_the_seed() -> None:
    assert digest(EventStream(1, 300)) == digest(EventStream(1, 300)) != digest(EventStream(2, 300))
    actions = [actions for seed in range(6) for _, actions in EventStream(seed, 1000).describe_results()]
    for name in ("Send(", "Refuse(", "Fail(", "Cancel(", "SetTimer(", "Log(", "WatchList("):
        assert any(name in line for line in actions), name


def test_compiled_and_plain_builds_return_the_same_actions() -> None:
    try:
        loader.read_stamp(loader.COMPILED_FOLDER)
    except loader.UnusableBuildError as error:
        pytest.skip(f"no compiled build: {error}")
    assert compare_builds(range(1000, 1008), 1500, workers=2) == []


LEAK_CHECK = """
from benchmarks.streams import EventStream
def resident() -> int:
    return int(open("/proc/self/statm").read().split()[1]) * 4096
from cloverkeel.balancing.affinity import rendezvous_rank
for seed in range(6):
    list(EventStream(seed, 1000).describe_results())
before = resident()
for number in range(100_000):
    rendezvous_rank(number * 0x9E3779B97F4A7C15 % 2**64, number, 1.0)
for seed in range(6):
    list(EventStream(seed, 1000).describe_results())
print(resident() - before)
"""


def test_the_compiled_build_does_not_leak_memory() -> None:
    """Integers above 62 bits leaked in compiled code: 130 bytes per server and request, 13 MiB in 36,000 requests."""
    for plain in ("1", "0"):
        completed = subprocess.run(
            [sys.executable, "-c", LEAK_CHECK], cwd=ROOT, env=os.environ | {loader.PLAIN_VARIABLE: plain},
            capture_output=True, text=True, check=True,
        )  # fmt: skip
        assert int(completed.stdout) < 2 << 20
