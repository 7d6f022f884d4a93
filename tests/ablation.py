"""What each mechanism is worth: days played with it and without it.

    python -m tests.ablation BENCH SITE... [--days quiet-1,scale-2] [--seeds 1,2] [--jobs 4]
                                     [--switches moves,hedging]

BENCH is the users' bench. Each switch is turned off by the settings alone, in a copy of the
tree beside it; the copies and what the bench writes to their journal stay for a look.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import re
import shutil
import statistics
import subprocess
from pathlib import Path
from typing import NamedTuple

import msgspec

from stileloom.switches import Switches

ROOT = Path(__file__).resolve().parents[1]
TEMPLATES = ("deploy/gateway.toml.in", "deploy/ledger.toml.in")
BASELINE = "all on"
WORTH = re.compile(r"worth (-?[\d.]+) = ")
BROKEN = re.compile(r"BROKEN: (.*)")


class Play(NamedTuple):
    """One day to play."""

    switch: str
    site: str
    day: str
    seed: int


class Played(NamedTuple):
    """What came of it."""

    play: Play
    worth: float | None
    broken: str


def copy_with_switch_off(folder: Path, switch: str) -> Path:
    """A copy of the tree whose settings have one switch off."""
    target = folder / re.sub(r"\W", "-", switch)
    if target.exists():
        shutil.rmtree(target)
    ignored = shutil.ignore_patterns(".git", ".venv", "journal", "__pycache__")
    shutil.copytree(ROOT, target, ignore=ignored)
    subprocess.run(["git", "init", "-q", "."], cwd=target, check=True)
    if switch != BASELINE:
        for template in TEMPLATES:
            path = target / template
            path.write_text(f"{path.read_text()}\n[switches]\n{switch} = false\n")
    return target


def play(bench: str, tree: Path, what: Play) -> Played:
    """Plays one day without charging processor time, so that a pair differs by the switch."""
    command = [bench, "run", what.site, what.day, "--seed", str(what.seed), "--no-cpu"]
    command += ["--jobs", "1", "--why", f"ablation: {what.switch}, {what.day}, seed {what.seed}"]
    output = subprocess.run(command, cwd=tree, capture_output=True, text=True).stdout
    worth = WORTH.search(output)
    broken = BROKEN.search(output)
    return Played(what, float(worth[1]) if worth else None, broken[1] if broken else "")


def report(results: list[Played]) -> list[str]:
    """Lines of a table: each switch's mean worth against all on, by site."""
    lines = []
    by_case: dict[tuple[str, str], dict[tuple[str, int], Played]] = {}
    for played in results:
        case = by_case.setdefault((played.play.site, played.play.switch), {})
        case[(played.play.day, played.play.seed)] = played
    for (site, switch), case in by_case.items():
        base = by_case[(site, BASELINE)]
        pairs = [
            (played.worth, other.worth)
            for key, played in case.items()
            if (other := base.get(key)) is not None
            and played.worth is not None
            and other.worth is not None
        ]
        mean = statistics.mean(worth for worth, _ in pairs)
        gain = statistics.mean(other - worth for worth, other in pairs)
        broken = sum(bool(played.broken) for played in case.values())
        lines.append(
            f"| {Path(site).stem} | {switch} | {len(pairs)} | {mean:.3f} | {gain:+.3f} | {broken} |"
        )
    return lines


def main() -> None:
    """Plays the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--days", default="quiet-1,trouble-1,scale-2")
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--switches", default=",".join(Switches.__struct_fields__))
    parser.add_argument("--folder", default=str(ROOT.parent / "ablation"))
    options = parser.parse_args()
    switches = [BASELINE, *options.switches.split(",")]
    msgspec.convert(dict.fromkeys(switches[1:], False), Switches)
    folder = Path(options.folder)
    trees = {switch: copy_with_switch_off(folder, switch) for switch in switches}
    plays = [
        Play(switch, site, day, int(seed))
        for site in options.sites
        for day in options.days.split(",")
        for seed in options.seeds.split(",")
        for switch in switches
    ]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as executor:
        results = list(
            executor.map(lambda what: play(options.bench, trees[what.switch], what), plays)
        )
    print("| site | off | days | worth | worth of the mechanism | days with a rule broken |")
    print("|---|---|---|---|---|---|")
    print("\n".join(report(results)))


if __name__ == "__main__":
    main()
