#!/usr/bin/env python3
"""Plays the standard days of sites with several seeds and prints what they are worth.

    scripts/score_sites.py play BENCH --why TEXT [--seeds 1,2,3] [--days scale-1,...] [--jobs N]
                                [--out FILE] SITE...
    scripts/score_sites.py show FILE
    scripts/score_sites.py compare BEFORE AFTER

`play` runs each day once a seed and writes the figures to FILE (JSON). The bench leaves an entry in
journal/ for each. `compare` pairs the plays of two files by site, day and seed, and prints the mean
difference with its standard error, so that a gain can be told from noise.
"""

import argparse
import concurrent.futures
import json
import math
import pathlib
import re
import subprocess
import sys
import tempfile

TROUBLE_DAYS = ["trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3"]
SMALLEST_PRICE = 0.0005
CLASS = re.compile(r"^(\S+) +(?:\d+ +){6}(-?[\d.]+) +[\d.]+ +[\d.]+$")


def parse_play(text, report):
    """Reads the figures of one day out of what the bench printed and reported."""
    play = {"classes": {}, "zones": {}, "rules": [], "worth": None}
    table = None
    for line in text.splitlines():
        head = line.split("  ")[0]
        if head in ("class", "clients' zone", "from second"):
            table = head
        row = CLASS.match(line)
        if row and table == "class":
            play["classes"][row[1]] = float(row[2])
        elif row and table == "clients' zone":
            play["zones"][row[1]] = float(row[2])
        if re.match(r"^[A-Z]+ at ", line):
            play["rules"].append(line[:200])
    for day in report.get("days", []):
        play["worth"] = day.get("G")
        play["gate"] = day.get("gate")
        play["fault"] = day.get("fault")
        play["rules"] += [f"{name}: {count}" for name, count in day.get("rules", {}).items()]
        play["parts"] = {name: value for name, _, value in day.get("parts", [])}
        play["prices"] = {name: cost for name, _, cost in day.get("prices", [])}
    return play


def newest_entry(text):
    """Returns the journal entry that the bench names as the snapshot of its run."""
    found = re.search(r"^snapshot ([0-9a-f]+)$", text, re.M)
    if not found:
        return {}
    entries = sorted(pathlib.Path("journal").glob(f"*-{found[1]}.json"))
    return json.loads(entries[-1].read_text()) if entries else {}


def play_one(bench, why, site, day, seed):
    """Plays one day and returns its figures; a day that was not played has no worth."""
    with tempfile.TemporaryDirectory() as scratch:
        report = f"{scratch}/report"
        call = [bench, "run", site, day, "--report", report, "--why", why]
        if seed:
            call += ["--seed", str(seed)]
        done = subprocess.run(call, capture_output=True, text=True)
    play = parse_play(done.stdout, newest_entry(done.stdout))
    play.update(site=pathlib.Path(site).stem, day=day, seed=seed)
    if play["worth"] is None:
        play["error"] = (done.stdout + done.stderr)[-400:]
    return play


def mean(values):
    values = [value for value in values if value is not None]
    return sum(values) / len(values) if values else float("nan")


def std_error(values):
    if len(values) < 2:
        return float("nan")
    middle = mean(values)
    return math.sqrt(sum((v - middle) ** 2 for v in values) / (len(values) - 1) / len(values))


def by_key(plays, field):
    """Means over plays of a table that each play holds, by its rows."""
    names = {name for play in plays for name in play.get(field, {})}
    return {name: mean([play[field].get(name) for play in plays]) for name in sorted(names)}


def show(plays):
    for site in sorted({play["site"] for play in plays}):
        here = [play for play in plays if play["site"] == site]
        played = [play for play in here if play["worth"] is not None]
        worths = [play["worth"] for play in played]
        spread = std_error(worths)
        print(f"{site}: mean worth {mean(worths):.3f} +- {spread:.3f} over {len(played)} plays")
        for day in sorted({play["day"] for play in played}):
            of_day = [play["worth"] for play in played if play["day"] == day]
            print(f"  {day:10} {mean(of_day):.3f}  " + " ".join(f"{w:.3f}" for w in of_day))
        for field in ("parts", "classes"):
            row = by_key(played, field).items()
            print("  " + ", ".join(f"{name} {value:.3f}" for name, value in row))
        prices = by_key(played, "prices").items()
        dear = [(name, cost) for name, cost in prices if abs(cost) >= SMALLEST_PRICE]
        dear.sort(key=lambda row: -row[1])
        print("  prices: " + ", ".join(f"{name} {cost:.4f}" for name, cost in dear))
        for play in here:
            label = f"{play['day']} seed {play['seed']}"
            if play["worth"] is None:
                print(f"  NOT PLAYED {label}: {play.get('error', '')}")
            elif play["rules"] or play.get("fault") or not play.get("gate"):
                told = play["rules"] or play.get("fault") or "gate failed"
                print(f"  BROKEN {label}: {told}")


def compare(before, after):
    key = lambda play: (play["site"], play["day"], play["seed"])
    earlier = {key(play): play for play in before if play["worth"] is not None}
    pairs = [(earlier[key(play)], play) for play in after
             if key(play) in earlier and play["worth"] is not None]
    for site in sorted({new["site"] for _, new in pairs}):
        here = [(old, new) for old, new in pairs if new["site"] == site]
        gains = [new["worth"] - old["worth"] for old, new in here]
        olds = mean([old["worth"] for old, _ in here])
        print(f"{site}: {olds:.3f} -> {olds + mean(gains):.3f}, gain {mean(gains):+.3f} "
              f"+- {std_error(gains):.3f} over {len(gains)} pairs")
        for day in sorted({new["day"] for _, new in here}):
            of_day = [new["worth"] - old["worth"] for old, new in here if new["day"] == day]
            print(f"  {day:10} {mean(of_day):+.3f}  " + " ".join(f"{g:+.3f}" for g in of_day))
        for field in ("parts", "classes", "prices"):
            old_rows = by_key([old for old, _ in here], field)
            new_rows = by_key([new for _, new in here], field)
            moved = [(name, new_rows[name] - old_rows.get(name, 0.0)) for name in new_rows]
            told = [f"{name} {gain:+.4f}" for name, gain in moved if abs(gain) >= SMALLEST_PRICE]
            print(f"  {field}: " + ", ".join(told))


def load(path):
    return json.loads(pathlib.Path(path).read_text())


def play(args):
    seeds = [int(seed) for seed in args.seeds.split(",")]
    plan = [(site, day, seed) for site in args.sites for day in args.days.split(",")
            for seed in seeds]
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        plays = list(pool.map(lambda at: play_one(args.bench, args.why, *at), plan))
    if args.out:
        pathlib.Path(args.out).write_text(json.dumps(plays, indent=1))
    show(plays)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    verbs = parser.add_subparsers(dest="verb", required=True)
    playing = verbs.add_parser("play")
    playing.add_argument("bench")
    playing.add_argument("sites", nargs="+")
    playing.add_argument("--why", required=True)
    playing.add_argument("--seeds", default="0,1,2", help="0: the day's own seed")
    playing.add_argument("--days", default=",".join(TROUBLE_DAYS))
    playing.add_argument("--jobs", type=int, default=4)
    playing.add_argument("--out")
    showing = verbs.add_parser("show")
    showing.add_argument("file")
    comparing = verbs.add_parser("compare")
    comparing.add_argument("before")
    comparing.add_argument("after")
    args = parser.parse_args()
    if args.verb == "play":
        play(args)
    elif args.verb == "show":
        show(load(args.file))
    else:
        compare(load(args.before), load(args.after))


if __name__ == "__main__":
    sys.exit(main())
