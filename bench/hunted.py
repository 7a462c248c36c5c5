#!/usr/bin/env python3
"""Trouble by trouble: days that hunts have played on one text of the sources, and days with a broken rule.

usage: bench/hunted.py SHA...   the sources' digests (the journal's policy sha256), or their beginnings
Reads journal/*.json as the bench wrote them. A file that can't be read is named and passed over.
"""
import collections
import glob
import json
import sys


def main(texts):
    days = collections.Counter()
    broken = collections.defaultdict(list)
    sites = collections.Counter()
    for path in sorted(glob.glob("journal/2*.json")):
        try:
            with open(path, encoding="utf-8") as f:
                entry = json.load(f)
        except (OSError, ValueError) as e:
            print(f"{path}: {e}", file=sys.stderr)
            continue
        digest = (entry.get("policy") or [{}])[0].get("sha256", "")
        if entry.get("cmd") != "hunt" or not any(digest.startswith(t) for t in texts):
            continue
        for day in entry.get("days", []):
            sites[entry["site"]] += 1
            for trouble in day.get("troubles") or ["none"]:
                days[trouble] += 1
                if day.get("rules"):
                    broken[trouble].append(f"{entry['site']} {day['name']}: {sorted(day['rules'])}")
    print("| trouble | days played | days with a broken rule |\n| --- | --- | --- |")
    for trouble, n in sorted(days.items()):
        print(f"| `{trouble}` | {n} | {len(broken[trouble])} |")
    for site, n in sorted(sites.items()):
        print(f"{site}: {n} days")
    for found in sorted({f for all_found in broken.values() for f in all_found}):
        print(found)


if __name__ == "__main__":
    main(sys.argv[1:])
