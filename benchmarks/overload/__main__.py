"""The picture of an overload: goodput against offered load, with hosts that choke (docs/overload-picture.md).

    python -m benchmarks.overload picture [--gateways 2,8,32] [--seeds 1-3] [--step S] [--json FILE] [--quick]
        [--hosts N] [--cores N] [--honour 0..1] [--retries N] [--attempts N] [--no-copies] [--sharing]
        [--law off | key=value,...]

Real gateways before hosts whose capacity is known. The load goes in steps, in times of that capacity: 0.9 as the
fleet starts empty, then 0.6, 0.9, 1.2, 1.6, 2.5, 4, down again by the same, then from 0.6 straight to 4 and back.
By row, from what clients and hosts saw: good answers a second; share of what was wanted that was served; where each
second of the hosts' cores went; tries and runs a request. From the gateways' logs: why they refused. `--quick` is for
CI: two gateways, one seed, under a minute.

A row is void where the machine may have been the limit. Exit code 0: all was played, and no row is void; 1 otherwise;
2: a mistake in the call. What issue 34 wants of these figures is printed beside them, and does not change the code.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import fields, replace
from pathlib import Path
from statistics import mean
from typing import Any, Final

from rich.console import Console
from rich.table import Table

from benchmarks.guards.__main__ import parse_seeds
from benchmarks.overload.account import Row
from benchmarks.overload.plan import LOADS, Terms, steps
from benchmarks.overload.play import Play, play
from cloverkeel.balancing import BUILD
from standins.parties.overload_model import OverloadModel

STEP_S, QUICK_STEP_S = 6.0, 3.0
COLUMNS: Final = (
    "step", "offered", "good", "served", "useful", "(from, to)", "slowed", "copies", "lost", "nobody", "idle", "held",
    "choked", "refused", "t/o", "host t/o", "tries", "sent", "runs", "shed", "why",
)  # fmt: skip
GATEWAYS_MOST: Final = 64
HOSTS_MOST, CORES_MOST = 64, 16
AFTER_S: Final = 8.0  # at the least, from a surge's end: three of them are wanted, and two seconds to see it


def parse_law(text: str) -> OverloadModel | None:
    """ "off", or fields of OverloadModel. ValueError names what was expected."""
    if text == "off":
        return None
    law, kinds = (
        OverloadModel(),
        {each.name: type(getattr(OverloadModel(), each.name)) for each in fields(OverloadModel)},
    )
    for word in filter(None, text.split(",")):
        name, _, value = word.partition("=")
        if name not in kinds:
            raise ValueError(f"--law: {name!r}: expected one of {', '.join(kinds)}")
        try:
            made = {"yes": True, "no": False}[value] if kinds[name] is bool else kinds[name](value)
        except (ValueError, KeyError):
            expected = "yes or no" if kinds[name] is bool else "a number"
            raise ValueError(f"--law: {name}: expected {expected}, found {value!r}") from None
        if not isinstance(made, bool) and made < 0:
            raise ValueError(f"--law: {name}: expected no less than 0, found {value!r}")
        law = replace(law, **{name: made})
    return law


def conditions() -> dict[str, Any]:
    said = subprocess.run(
        ("git", "describe", "--always", "--dirty"), capture_output=True, text=True, cwd=Path(__file__).parent
    )
    return {
        "commit": said.stdout.strip() or "unknown", "date": time.strftime("%Y-%m-%d %H:%M", time.gmtime()),
        "cores": os.cpu_count(), "load": round(os.getloadavg()[0], 2), "build": BUILD,
    }  # fmt: skip


def mixed(plays: Sequence[Play], place: int) -> list[Row]:
    """One step of several plays."""
    return [each.steps[place] for each in plays]


def show(plays: Sequence[Play], console: Console) -> None:
    for count in sorted({each.terms.gateways for each in plays}):
        of = [each for each in plays if each.terms.gateways == count]
        table = Table(title=f"{count} gateways, {of[0].capacity:.0f} requests a second at the hosts, {len(of)} seeds")
        for name in COLUMNS:
            table.add_column(name, justify="left" if name in ("step", "why") else "right")
        for place, first in enumerate(of[0].steps):
            rows = mixed(of, place)

            def average(name: str, rows: Sequence[Row] = rows) -> float:
                return mean(float(getattr(row, name)) for row in rows)

            useful = [row.useful for row in rows]
            why = {word: mean(row.why.get(word, 0.0) for row in rows) for row in rows for word in row.why}
            table.add_row(
                first.name + ("*" if any(row.void for row in rows) else ""), f"{average('offered'):.0f}",
                f"{average('good'):.0f}", f"{average('served'):.1%}", f"{mean(useful):.3f}",
                f"{min(useful):.3f} {max(useful):.3f}", f"{average('slowed'):.3f}", f"{average('copy'):.3f}",
                f"{average('lost'):.3f}", f"{average('nobody'):.3f}", f"{average('idle'):.3f}",
                f"{average('held'):.1f}", f"{average('choked'):.2f}", f"{average('refused'):.0f}",
                f"{average('timeouts'):.0f}", f"{average('host_timeouts'):.0f}", f"{average('tries'):.2f}",
                f"{average('arrived'):.0f}", f"{average('runs'):.3f}",
                f"{average('shed'):.2f} {average('shed_dear'):.2f}",
                " ".join(f"{word} {figure:.0f}" for word, figure in sorted(why.items(), key=lambda i: -i[1])),
            )  # fmt: skip
        console.print(table)
        judged = Table(title=f"{count} gateways: what is wanted of an overload, by seed")
        for name in ("what", "wanted", "found"):
            judged.add_column(name)
        for what in dict.fromkeys(finding.what.partition(" (")[0] for each in of for finding in each.findings):
            found = [f for each in of for f in each.findings if f.what.partition(" (")[0] == what]
            cells = [f"{f.found:.3f}{'' if f.holds else ' no'}{' void' if f.void else ''}" for f in found]
            judged.add_row(what, found[0].wanted, ", ".join(cells))
        console.print(judged)
    for each in plays:
        for row in each.steps:
            for said in row.void:
                console.print(f"void: {each.terms.gateways} gateways, seed {each.terms.seed}, {row.name}: {said}")
        for fault in each.faults:
            console.print(f"fault: {each.terms.gateways} gateways, seed {each.terms.seed}: {fault}", markup=False)


def options_of(arguments: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="benchmarks.overload", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("picture",))
    parser.add_argument("--gateways", default="2,8,32")
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--cores", type=int, default=2, help="of each host")
    parser.add_argument("--step", type=float, default=STEP_S, metavar="S", help="seconds of each step")
    parser.add_argument("--json", type=Path)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--honour", type=float, default=0.7, help="share of clients that heed the time told")
    parser.add_argument("--retries", type=int, default=2, help="of a client, after its first try")
    parser.add_argument("--attempts", type=int, default=6, help="of a gateway, for each request")
    parser.add_argument("--no-copies", action="store_true", help="no two attempts of a request out together")
    parser.add_argument("--sharing", action="store_true", help="gateways tell one another what hosts did to them")
    parser.add_argument(
        "--law", default="", help="of the hosts (standins/parties/overload_model.py): off, or key=value,..."
    )
    return parser.parse_args(arguments)


def terms_of(options: argparse.Namespace) -> list[Terms]:
    """The plays, side by side in time: a machine that slows down slows them all. ValueError for a mistake."""
    if options.quick:
        options.gateways, options.seeds, options.step = "2", "1", QUICK_STEP_S
    try:
        counts = [int(word) for word in options.gateways.split(",")]
    except ValueError:
        raise ValueError(f"--gateways: expected whole numbers, found {options.gateways!r}") from None
    if not all(1 <= count <= GATEWAYS_MOST for count in counts):
        raise ValueError(f"--gateways: expected 1 to {GATEWAYS_MOST}, found {options.gateways!r}")
    if not (1 <= options.hosts <= HOSTS_MOST and 1 <= options.cores <= CORES_MOST):
        raise ValueError(f"--hosts, --cores: expected 1 to {HOSTS_MOST} and 1 to {CORES_MOST}")
    if not 1 <= options.step <= 60:
        raise ValueError(f"--step: expected 1 to 60 seconds, found {options.step:g}")
    if not 0 <= options.honour <= 1:
        raise ValueError(f"--honour: expected 0 to 1, found {options.honour:g}")
    if not 0 <= options.retries <= 20:
        raise ValueError(f"--retries: expected 0 to 20, found {options.retries}")
    if not 1 <= options.attempts <= 20:
        raise ValueError(f"--attempts: expected 1 to 20, found {options.attempts}")
    law = parse_law(options.law)
    after_s = AFTER_S if not options.quick else AFTER_S - 2
    made = tuple(steps(LOADS, options.step, options.step, max(after_s, options.step)))
    return [
        Terms(
            count, seed, made, options.hosts, options.cores, law, options.honour, options.retries, options.attempts,
            not options.no_copies, options.sharing,
        )
        for seed in parse_seeds(options.seeds) for count in counts
    ]  # fmt: skip


def main(arguments: Sequence[str]) -> int:
    options, console = options_of(arguments), Console(width=int(os.environ.get("COLUMNS", "220")))
    try:
        wanted = terms_of(options)
    except ValueError as error:
        print(f"overload: {error}", file=sys.stderr)
        return 2
    begun, plays = conditions(), list[Play]()
    console.print(f"{begun}", highlight=False)
    for terms in wanted:
        plays.append(play(terms))
        console.print(f"played: {terms.gateways} gateways, seed {terms.seed}", highlight=False)
        if options.json is not None:
            made = {"conditions": begun, "plays": [each.as_json() for each in plays]}
            options.json.write_text(json.dumps(made, separators=(",", ":")) + "\n")
    show(plays, console)
    return 1 if any(row.void for each in plays for row in each.steps) or any(each.faults for each in plays) else 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
