"""Which build of the decisions runs, and that both decide alike."""

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

from benchmarks.differential import compare
from benchmarks.streams import Stream, digest
from cloverkeel.compiled import build as compiling
from cloverkeel.compiled import loader
from cloverkeel.balancing.events import ListedServer
from cloverkeel.balancing.settings import Settings
from cloverkeel.simulator.settings_codec import WireError, parse_settings
from cloverkeel.core.config import Names
from cloverkeel.discovery.endpoint_parser import parse_endpoint

ROOT = Path(__file__).parent.parent.parent
SOURCE = "cloverkeel/balancing/balancer.py"


def stamped(folder: Path, library: bytes = b"no library at all", **changed: object) -> Path:
    """A folder as a build leaves it, with one library that nobody can load."""
    folder.mkdir(exist_ok=True)
    (folder / "x.so").write_bytes(library)
    stamp = {
        "suffix": loader.LIBRARY_SUFFIX, "sources": {SOURCE: loader.digest(str(ROOT / SOURCE))},
        "modules": {"cloverkeel.balancing.nothing": ["x.so", len(library)]},
    }  # fmt: skip
    (folder / loader.STAMP_NAME).write_text(json.dumps(stamp | changed))
    return folder


def why(folder: Path) -> str:
    with pytest.raises(loader.UnusableBuildError) as raised:
        loader.read_stamp(str(folder))
    return str(raised.value)


def test_what_was_compiled_is_used_only_where_it_is_of_these_sources_and_this_python(tmp_path: Path) -> None:
    assert why(tmp_path) == "nothing was compiled"
    folder = stamped(tmp_path)
    assert loader.read_stamp(str(folder)) == {"cloverkeel.balancing.nothing": str(folder / "x.so")}
    stamped(tmp_path, suffix=".cpython-39-x86_64-linux-gnu.so")
    assert "compiled for .cpython-39" in why(tmp_path)
    stamped(tmp_path, sources={SOURCE: "0" * 32})
    assert why(tmp_path) == f"{SOURCE} has changed since it was compiled"
    stamped(tmp_path, sources={"cloverkeel/balancing/gone.py": "0" * 32})
    assert "gone.py is missing" in why(tmp_path)
    stamped(tmp_path, sources={}, modules={})
    assert why(tmp_path) == "stamp.json names no module"
    stamped(tmp_path)
    (tmp_path / "x.so").write_bytes(b"cut off")
    assert "is not whole" in why(tmp_path)
    (tmp_path / "x.so").unlink()
    assert "x.so is missing" in why(tmp_path)


@settings(max_examples=100, deadline=None)
@given(st.binary(max_size=60) | st.recursive(st.none() | st.integers() | st.text(max_size=4), lambda inner: st.lists(
    inner, max_size=3) | st.dictionaries(st.sampled_from(["suffix", "sources", "modules"]), inner)).map(
    lambda value: json.dumps(value).encode()))  # fmt: skip
def test_a_stamp_of_any_content_never_ends_a_start(tmp_path_factory: pytest.TempPathFactory, content: bytes) -> None:
    folder = tmp_path_factory.mktemp("stamp")
    (folder / loader.STAMP_NAME).write_bytes(content)
    assert loader.install(str(folder), {}).startswith("plain: ")


def test_a_library_that_cannot_be_loaded_leaves_the_sources_running(tmp_path: Path) -> None:
    before, finders = set(sys.modules), list(sys.meta_path)
    assert "plain: " in loader.install(str(stamped(tmp_path)), {})
    assert sys.meta_path == finders and "cloverkeel.balancing.nothing" not in set(sys.modules) - before


def test_a_module_that_cannot_be_loaded_leaves_all_modules_to_their_sources(tmp_path: Path) -> None:
    (tmp_path / "x.so").write_bytes(b"no library at all")
    files = {"cloverkeel.nothing": str(tmp_path / "x.so"), "cloverkeel.balancing.other": "kept"}
    finder, before = loader.CompiledFinder(files), dict(sys.modules)
    sys.meta_path.insert(0, finder)
    try:
        assert loader.load("cloverkeel").startswith("plain: ")
        assert finder.files == {"cloverkeel.balancing.other": "kept"} and finder in sys.meta_path
        assert loader.load("cloverkeel") == "plain: nothing of cloverkeel was compiled"
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
def test_a_process_that_loads_the_program_first_mixes_no_sources_with_what_is_compiled(plain: str) -> None:
    """It crashed: the first modules were sources, and those after the decisions compiled."""
    done = subprocess.run(
        [sys.executable, "-c", LOAD_FIRST], cwd=ROOT, env=os.environ | {loader.PLAIN_VARIABLE: plain},
        capture_output=True, text=True, check=True,
    )  # fmt: skip
    assert len(done.stdout.split(",")) == 1
    assert plain == "0" or done.stdout.strip() == "[True]"


def test_the_variable_makes_the_sources_run(tmp_path: Path) -> None:
    finders = list(sys.meta_path)
    assert (
        loader.install(str(stamped(tmp_path)), {loader.PLAIN_VARIABLE: "1"})
        == f"plain: {loader.PLAIN_VARIABLE} is set"
    )
    assert sys.meta_path == finders
    code = "import cloverkeel.balancing.balancer as b; print(cloverkeel.balancing.BUILD, b.__file__)"
    command = [sys.executable, "-c", code]
    done = subprocess.run(
        [*command[:2], "import cloverkeel.balancing; " + command[2]], cwd=ROOT,
        env=os.environ | {loader.PLAIN_VARIABLE: "1"}, capture_output=True, text=True, check=True,
    )  # fmt: skip
    assert done.stdout.startswith("plain: ") and done.stdout.strip().endswith("balancer.py")


def test_what_is_compiled_needs_no_library_but_mypys_own() -> None:
    """`build` compiles in an environment that has none of the gateway's."""
    command = [sys.executable, "-m", "mypy", "--no-site-packages", "--cache-dir", os.devnull, *compiling.MYPY_OPTIONS]
    done = subprocess.run(
        [*command, *map(compiling.source_of, compiling.MODULES)], cwd=ROOT, capture_output=True, text=True,
        check=False,
    )  # fmt: skip
    assert done.returncode == 0, done.stdout


def test_a_compiler_that_fails_leaves_one_line_and_no_stamp(tmp_path: Path) -> None:
    folder = tmp_path / "made"
    done = subprocess.run(
        [sys.executable, "-m", "cloverkeel.compiled.build", "--folder", str(folder)], cwd=ROOT,
        env=os.environ | {"CC": "false", loader.PLAIN_VARIABLE: "1"}, capture_output=True, text=True, check=False,
    )  # fmt: skip
    assert done.returncode == 1 and not folder.exists() and not list(tmp_path.iterdir())
    assert done.stderr.count("\n") == 1 and "not compiled, the plain sources run" in done.stderr


def test_a_build_cut_off_before_its_stamp_is_not_used(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def cut_off(work: Path, modules: object) -> None:
        for module in compiling.MODULES:
            file = work / "lib" / (module.replace(".", "/") + loader.LIBRARY_SUFFIX)
            file.parent.mkdir(parents=True, exist_ok=True)
            file.write_bytes(b"")

    def killed(self: Path, text: str) -> int:
        raise KeyboardInterrupt

    monkeypatch.setattr(compiling, "run_mypyc", cut_off)
    folder = stamped(tmp_path / "made")  # from an earlier build
    monkeypatch.setattr(Path, "write_text", killed)
    with pytest.raises(KeyboardInterrupt):
        compiling.compile_all(folder)
    monkeypatch.undo()
    assert why(folder) == "nothing was compiled" and len(list(folder.rglob("*.so"))) == len(compiling.MODULES)


STUB = """#!/bin/sh
mkdir -p "$3/bin"
printf '#!/bin/sh\ncase "$*" in *compile.txt*) exit 1;; esac\n' >"$3/bin/pip"
printf '#!/bin/sh\ncase "$*" in *cloverkeel.compiled.build*) exit 1;; esac\n' >"$3/bin/python"
chmod +x "$3/bin/pip" "$3/bin/python"
"""


def test_an_environment_that_could_not_be_made_is_not_marked_as_made(tmp_path: Path) -> None:
    """A failed installation of mypy was marked as finished, and never tried again."""
    (tmp_path / "deploy").mkdir()
    for name in ("deploy/build.sh", "deploy/compile.txt", "requirements.txt"):
        shutil.copyfile(ROOT / name, tmp_path / name)
    (tmp_path / "bin").mkdir()
    (tmp_path / "bin" / "python3").write_text(STUB)
    (tmp_path / "bin" / "python3").chmod(0o755)
    path = f"{tmp_path / 'bin'}:{os.environ['PATH']}"
    done = subprocess.run(
        ["sh", "deploy/build.sh"], cwd=tmp_path, env=os.environ | {"PATH": path}, capture_output=True, text=True,
        timeout=60, check=True,
    )  # fmt: skip
    assert "the plain sources run" in done.stdout
    assert (tmp_path / ".venv/built").exists() and not (tmp_path / ".venv-compile/built").exists()


# What compiled code would raise on


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=2), inner, max_size=2), max_leaves=4,
)  # fmt: skip
ENTRY = {"name": "s", "address": "127.0.0.1:9", "status": "SERVING", "weight": 1.0, "zone": "a", "type": "m",
         "group": 0, "since_ms": 5}  # fmt: skip
LANE = {"name": "x", "effect": "free", "group": "all", "giveUpUs": 900_000, "aimUs": 300_000, "value": 1.0}
SETTINGS = {"lanes": [LANE], "balancers": 3, "index": 1, "zone": 0, "overShareWorth": 0.5, "tenants": [{"name": "t"}]}


def mistyped(made: object) -> list[str]:
    """Fields whose value is not of the type that is written: plain Python lets them pass, compiled code raises."""
    bad = []
    for name, hint in get_type_hints(type(made)).items():
        if hint in (int, float, bool, str) and not isinstance(getattr(made, name), hint):
            bad.append(f"{type(made).__name__}.{name}")
    return bad


@settings(max_examples=300, deadline=None)
@given(st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON, max_size=3))
def test_no_list_of_hosts_makes_an_entry_of_wrong_types(odd: dict[str, Any]) -> None:
    try:
        entry = parse_endpoint(ENTRY | odd, Names({}, {}, {"a": 0}, {"m": 0}))
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
        return  # it is skipped and logged
    assert isinstance(entry.listed, ListedServer) and not mistyped(entry.listed)


@settings(max_examples=300, deadline=None)
@given(st.dictionaries(st.sampled_from(sorted(SETTINGS)), JSON, max_size=2),
       st.dictionaries(st.sampled_from(sorted(LANE)), JSON, max_size=2))  # fmt: skip
def test_no_configuration_makes_settings_of_wrong_types(odd: dict[str, Any], odd_lane: dict[str, Any]) -> None:
    try:
        made = parse_settings(json.dumps(SETTINGS | {"lanes": [LANE | odd_lane]} | odd))
    except WireError:
        return  # one line at the start, exit code 2
    assert isinstance(made, Settings)
    assert not mistyped(made) + [bad for klass in made.classes for bad in mistyped(klass)]


# Both builds


def test_a_stream_is_the_same_each_time_and_its_digest_tells_streams_apart() -> None:
    assert digest(Stream(1, 300)) == digest(Stream(1, 300)) != digest(Stream(2, 300))
    came = [came for seed in range(6) for _, came in Stream(seed, 1000).play()]
    for word in ("Send(", "Refuse(", "Fail(", "Cancel(", "SetTimer(", "Log(", "WatchList("):
        assert any(word in line for line in came), word


def test_compiled_and_plain_decisions_are_the_same() -> None:
    try:
        loader.read_stamp(loader.COMPILED_FOLDER)
    except loader.UnusableBuildError as error:
        pytest.skip(f"no compiled build: {error}")
    assert compare(range(1000, 1008), 1500, workers=2) == []


LIFE = """
from benchmarks.streams import Stream
def resident() -> int:
    return int(open("/proc/self/statm").read().split()[1]) * 4096
from cloverkeel.balancing.affinity import rendezvous_rank
for seed in range(6):
    list(Stream(seed, 1000).play())
before = resident()
for number in range(100_000):
    rendezvous_rank(number * 0x9E3779B97F4A7C15 % 2**64, number, 1.0)
for seed in range(6):
    list(Stream(seed, 1000).play())
print(resident() - before)
"""


def test_what_was_compiled_leaks_nothing_that_python_does_not() -> None:
    """Numbers past 62 bits leaked: 130 bytes for each server and request, 13 MiB in 36,000 requests."""
    for plain in ("1", "0"):
        done = subprocess.run(
            [sys.executable, "-c", LIFE], cwd=ROOT, env=os.environ | {loader.PLAIN_VARIABLE: plain},
            capture_output=True, text=True, check=True,
        )  # fmt: skip
        assert int(done.stdout) < 2 << 20
