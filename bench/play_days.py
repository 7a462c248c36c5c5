#!/usr/bin/env python3
"""Plays days of our own side by side and says of each whether a rule was broken.

usage: bench/play_days.py BENCH SITE OUT_DIR DAY... [--jobs N] [--budget-s S] [--small] [--no-log] [--why TEXT]
       bench/play_days.py --table SHA...

BENCH is the bench's program. Each day runs as `BENCH run SITE DAY`, N at a time; none is started once S seconds have
passed, so that a hold of the machine ends in time. OUT_DIR keeps each day's report and core log, and results.jsonl with
a line a day; a day that stands there is not played again. --table reads journal/*.json and prints, by moment and
trouble, the own days played on the sources whose digests begin with SHA, and the rules broken.
"""
import argparse
import collections
import concurrent.futures
import glob
import json
import pathlib
import re
import subprocess
import sys
import time

MOMENTS = ("alone", "twice", "replacing", "caught-up", "after-loss", "snapshot", "racing", "history", "closing")


def days_of(results):
    """Lines of a results file, none if there is no such file."""
    path = pathlib.Path(results)
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text(encoding="utf-8").splitlines() if line]


def rules_of(report):
    """Broken rules with what the bench says of their first break."""
    return {name: str(what)[:300] for name, what in (report.get("breaks") or {}).items()}


def play(options, day):
    """One day; the line for the results file."""
    name = pathlib.Path(day).stem
    out_dir = pathlib.Path(options.out_dir)
    report_path = out_dir / f"{name}.report.json"
    command = [options.bench, "run", options.site, day, "--jobs", "1", "--report", str(report_path),
               "--why", options.why or f"own day {name}"]
    if options.small:
        command.append("--small")
    if not options.no_log:
        command += ["--log", "core"]
    began = time.monotonic()
    with open(out_dir / f"{name}.log", "w", encoding="utf-8") as log:
        code = subprocess.run(command, stdout=log, stderr=subprocess.STDOUT, check=False).returncode
    line = {"day": name, "site": pathlib.Path(options.site).stem, "code": code, "small": options.small,
            "wall_s": round(time.monotonic() - began, 1)}
    text = (out_dir / f"{name}.log").read_text(encoding="utf-8", errors="replace")
    snapshot = re.search(r"^snapshot (\w+)", text, re.M)
    line["snapshot"] = snapshot.group(1) if snapshot else ""
    seed = re.search(r"^seed = (\d+)", pathlib.Path(day).read_text(encoding="utf-8"), re.M)
    line["seed"] = int(seed.group(1)) if seed else 0
    if not report_path.exists():
        line["error"] = text.strip()[-300:]
        return line
    report = json.loads(report_path.read_text(encoding="utf-8"))
    line.update(worth=round(report["G"], 3), rules=rules_of(report), fault=report["fault"], short=report["short"],
                exits=report["exits_n"], missed=len(report["missed"]),
                first=[str(each)[:300] for each in report["first"]][:4])
    return line


def play_all(options):
    out_dir = pathlib.Path(options.out_dir)
    out_dir.mkdir(parents=True, exist_ok=True)
    results = out_dir / "results.jsonl"
    known = {line["day"] for line in days_of(results)}
    waiting = [day for day in options.days if pathlib.Path(day).stem not in known]
    ends = time.monotonic() + options.budget_s

    def one(day):
        return None if time.monotonic() > ends else play(options, day)

    left = 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool, open(results, "a", encoding="utf-8") as file:
        for line in pool.map(one, waiting):
            if line is None:
                left += 1
                continue
            file.write(json.dumps(line) + "\n")
            file.flush()
            told = "error" if "error" in line else ", ".join(line["rules"]) or line["fault"] or "kept"
            print(f"{line['day']:44s} {line.get('worth', 0):6.3f} {line['wall_s']:6.1f} s  exits {line.get('exits', '-')}  {told}")
    print(f"{len(waiting) - left} played, {left} left")


def played(texts):
    """Own days that the journal holds for these sources: (site, day as the bench wrote it)."""
    for path in sorted(glob.glob("journal/2*.json")):
        try:
            entry = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        except (OSError, ValueError) as e:
            print(f"{path}: {e}", file=sys.stderr)
            continue
        digest = (entry.get("policy") or [{}])[0].get("sha256", "")
        if entry.get("cmd") == "run" and any(digest.startswith(text) for text in texts):
            for day in entry.get("days", []):
                yield entry["site"], day


def moment_of(name):
    """The moment and the trouble that a day's name tells."""
    for moment in MOMENTS:
        if name.startswith(moment + "-"):
            return moment, name[len(moment) + 1:]
    return "other", name


def table(texts):
    """Trouble x moment x days x broken rules."""
    rows = collections.defaultdict(lambda: [0, 0, collections.Counter()])
    for site, day in played(texts):
        row = rows[(site, *moment_of(day["name"]))]
        row[0] += 1
        row[1] += bool(day["rules"] or day["fault"])
        row[2].update(day["rules"].keys())
        if day["fault"]:
            row[2][f"fault: {day['fault']}"] += 1
    print("| site | moment | trouble | days | days that broke a rule | rules |\n| --- | --- | --- | --- | --- | --- |")
    for (site, moment, trouble), (days, broken, rules) in sorted(rows.items()):
        print(f"| {site} | {moment} | `{trouble}` | {days} | {broken} | {', '.join(sorted(rules)) or '-'} |")
    days = sum(row[0] for row in rows.values())
    broken = sum(row[1] for row in rows.values())
    print(f"\n{days} days, {broken} with a broken rule or a fault")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("out_dir")
    parser.add_argument("days", nargs="+")
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--budget-s", type=float, default=80.0)
    parser.add_argument("--small", action="store_true")
    parser.add_argument("--no-log", action="store_true")
    parser.add_argument("--why", default="")
    play_all(parser.parse_args())


if __name__ == "__main__":
    if sys.argv[1:2] == ["--table"]:
        table(sys.argv[2:])
    else:
        main()
