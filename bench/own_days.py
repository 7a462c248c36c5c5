#!/usr/bin/env python3
"""Writes days of our own for the bench: each trouble alone, twice over, and in pairs at the hurtful moments.

usage: bench/own_days.py SITE OUT_DIR [--suite alone|twice|moments|histories|closings]... [--seed N]
                         [--fronts N] [--rate R]

SITE is a site file; its zones, traffic, machines, tolerance and catch-up time are read from it and nothing of it is
known here. One TOML file is written for each day, named suite-trouble[-moment].toml. The same seed and suites write
the same days.

alone, twice  each entry of `kinds` and each word of `how`, with changes all through the day and a drawn closing
moments       each trouble of the core during a planned replacement (replacing), as its newcomer has had the catch-up time
              (caught-up), the same after a loss without warning (after-loss), as a member comes back that was away for
              hundreds of changes (snapshot), and while pairs of changes are under way all the time (racing)
histories     a replacement, wipes, cuts and the closing wipe in several orders
closings      each closing, after a calm day and after hundreds of changes

--fronts N   add a small twin with N front machines a zone and every core machine; play it with `run ... --small`.
             Days about the core are then a few processes, and many of them can be played side by side.
--rate R     share of the site's traffic (1: as the site has it; a twin divides it further by its machines).
"""
import argparse
import pathlib
import random
import tomllib

FIRST_TROUBLE_S = 8.0
REPLACE_AT_S = 6.0
AWAY_S = 20.0


def value(item):
    """One TOML value on one line."""
    if isinstance(item, bool):
        return "true" if item else "false"
    if isinstance(item, str):
        return '"' + item.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(item, dict):
        return "{ " + ", ".join(f"{key} = {value(each)}" for key, each in item.items()) + " }"
    if isinstance(item, list):
        return "[" + ", ".join(value(each) for each in item) + "]"
    return repr(item)


def trouble(kind, how="", **fields):
    """An entry of a day without its time."""
    entry = {"kind": kind, **fields}
    if how:
        entry["how"] = how
    return entry


def core_troubles(losses):
    """What can happen to the core, by name; `losses` machines may be lost at once."""
    found = {
        "kill": trouble("node_kill", on="core", count=losses, for_s=3.0),
        "power-leader": trouble("node_kill", "power leader race hard", on="core", count=1, for_s=3.0),
        "power-seed": trouble("node_kill", "power seed meet", on="core", count=losses, for_s=3.0),
        "kill-reader": trouble("node_kill", "reader race drain", on="core", count=1, for_s=2.0),
        "freeze-leader": trouble("node_freeze", "leader race", on="core", count=1, for_s=4.0),
        "cut-leader": trouble("core_cut", "leader race hard", count=losses, for_s=8.0),
        "cut-long": trouble("core_cut", "leader race hard drain", count=losses, for_s=20.0),
        "cut-one-way": trouble("core_cut", "leader one_way race", count=1, for_s=6.0),
        "cut-refuse": trouble("core_cut", "leader refuse race hard", count=1, for_s=6.0),
        "cut-reset": trouble("core_cut", "reset race", count=losses, for_s=6.0),
        "cut-seeds": trouble("core_cut", "seeds race", count=losses, for_s=8.0),
        "cut-both": trouble("core_cut", "both race", count=losses, for_s=8.0),
        "ack-kill": trouble("after_ack_kill", count=losses, for_s=3.0),
        "ack-kill-process": trouble("after_ack_kill", "kill", count=1, for_s=3.0),
        "ack-kill-timed": trouble("after_ack_kill", "timed", count=losses, for_s=3.0),
        "ack-kill-taken": trouble("after_ack_kill", "taken", count=losses, for_s=3.0),
        "ack-wipe": trouble("after_ack_wipe", count=losses, for_s=3.0),
        "ack-wipe-timed": trouble("after_ack_wipe", "timed", count=losses, for_s=3.0),
        "ack-wipe-taken": trouble("after_ack_wipe", "taken", count=losses, for_s=3.0),
        "herd-core": trouble("herd_kill", "power race hard", on="core", share=1.0, for_s=1.2),
        "herd-taken": trouble("herd_kill", "taken", on="core", share=1.0, for_s=1.2),
        "disk-full": trouble("disk_full", count=losses, for_s=6.0),
        "disk-slow-leader": trouble("disk_slow", "leader", count=1, x=30.0, for_s=6.0),
        "disk-stall": trouble("disk_stall", count=losses, for_s=4.0),
        "clock-leader": trouble("clock_step", "leader back", share=0.5, x=2500.0, for_s=5.0),
        "reset-conns": trouble("reset_conns", share=0.6, x=0.6),
        "node-slow-core": trouble("node_slow", "leader", on="core", count=1, x=5.0, for_s=5.0),
        "cut-fronts": trouble("node_cut", share=0.5, for_s=6.0),
    }
    return found


def planned_troubles():
    """Planned work on the core, by name."""
    return {
        "replace": trouble("replace_core", count=1, x=1.5),
        "replace-leader": trouble("replace_core", "leader", count=1, x=1.5),
        "replace-planned": trouble("replace_core", "planned", count=1, x=1.0),
        "replace-planned-leader": trouble("replace_core", "planned leader", count=1, x=1.0),
        "replace-planned-seed": trouble("replace_core", "planned seed", count=1, x=1.0),
        "roll-core": trouble("roll_term", on="core", x=1, gap_s=3.0),
        "seed-turnover": trouble("seed_turnover"),
        "hup": trouble("hup", share=0.5, gap_s=1.0),
        "race": trouble("config_race", count=20, gap_s=0.3),
        "bad-config": trouble("bad_config", count=10, gap_s=0.4),
    }


def other_troubles():
    """What happens to front machines, workers, answers and clients, by name."""
    found = {
        "answer-lost": trouble("answer_lost", share=0.5, x=0.05, for_s=5.0),
        "answer-lost-reset": trouble("answer_lost", "reset", share=0.6, x=0.06, for_s=5.0),
        "garble": trouble("garble", share=0.5, x=0.04, for_s=5.0),
        "garble-extra": trouble("garble", "extra", share=0.6, x=0.04, for_s=5.0),
        "garble-extra-late": trouble("garble", "extra late", share=0.7, x=0.05, for_s=5.0),
        "node-kill": trouble("node_kill", share=0.34, for_s=3.0),
        "node-power": trouble("node_kill", "power", share=0.34, for_s=3.0),
        "node-freeze": trouble("node_freeze", share=0.34, for_s=4.0),
        "node-slow": trouble("node_slow", share=0.34, x=5.0, for_s=4.0),
        "herd": trouble("herd_kill", share=0.6, for_s=1.5),
        "herd-power": trouble("herd_kill", "power", share=0.6, for_s=1.5),
        "cut-servers": trouble("node_cut", "servers", share=0.3, for_s=5.0),
        "worker-crash": trouble("worker_crash", share=0.2, for_s=5.0),
        "worker-crash-reset": trouble("worker_crash", "reset", share=0.2, for_s=5.0),
        "burst": trouble("burst", x=2.5, for_s=4.0),
        "retry-abuse": trouble("retry_abuse", share=0.4, x=3.0, for_s=5.0),
        "ack-lost": trouble("ack_lost", x=0.7, for_s=10.0),
        "srv-slow": trouble("srv_slow", share=0.2, x=4.0, for_s=5.0),
        "srv-slow-across": trouble("srv_slow", "across", share=0.2, x=4.0, for_s=5.0),
        "lossy": trouble("lossy", x=0.05, for_s=5.0),
    }
    for word in ("back", "ahead"):
        found[f"clock-{word}"] = trouble("clock_step", word, share=0.5, x=2500.0, for_s=6.0)
    return found


def other_plans():
    """Planned work outside the core, by name."""
    found = {
        "roll-term": trouble("roll_term", gap_s=1.0),
        "roll-term-busy": trouble("roll_term", "busy", gap_s=1.0),
        "roll-term-remove": trouble("roll_term", "remove", share=0.5, gap_s=1.0),
        "worker-drain": trouble("worker_drain", share=0.25),
    }
    for word in ("route", "weights", "timeout", "tenant", "quota", "idle"):
        found[f"change-{word}"] = trouble("config_change", word)
    for word in ("cut_short", "unknown_service", "same_place", "no_weight", "no_timeout",
                 "old_version", "same_version", "stale_match", "shared_key"):
        found[f"bad-{word}"] = trouble("bad_config", word, count=4, gap_s=0.5)
    return found


def closings():
    """Ends of a day, by name."""
    found = {"none": None}
    for kind in ("power_off_all", "kill_all", "wipe_after_ack"):
        found[kind] = {"kind": kind, "down_s": 1.2}
    for how in ("aimed", "timed", "taken"):
        found[f"wipe_after_ack-{how}"] = {"kind": "wipe_after_ack", "down_s": 1.2, "how": how}
    for how in ("timed", "taken"):
        found[f"power_off_all-{how}"] = {"kind": "power_off_all", "down_s": 1.2, "how": how}
    return found


class Writer:
    """Days of one site, with chance from one seed."""

    def __init__(self, site, options):
        self.site = site
        self.options = options
        self.chance = random.Random(options.seed)
        self.losses = max(1, site.get("tolerate", {}).get("machines", 1))
        self.catch_up_s = site.get("timing", {}).get("catch_up_s", 4.0)
        self.closings = closings()

    def traffic(self):
        rows = []
        for row in self.site["traffic"]:
            rows.append({**row, "per_s": round(row["per_s"] * self.options.rate, 1)})
        return rows

    def twin(self):
        """The same core with a few front machines and workers; traffic shrinks with the front machines."""
        fronts = 0
        machines = []
        for row in self.site["machines"]:
            if "disk" in row:
                machines.append(row)
                continue
            fronts += row["count"]
            machines.append({**row, "count": self.options.fronts, "spare": 1})
        kept = sum(row["count"] for row in machines if "disk" not in row)
        shrink = max(1.0, round(fronts / kept, 1))
        services = [{"name": row["name"], "copies": max(4, round(row["copies"] / shrink / 2))}
                    for row in self.site["services"]]
        workers = [{**row, "count": 1, "spare": 1} for row in self.site["workers"]]
        return {"shrink": shrink, "machines": machines, "services": services, "workers": workers}

    def write(self, name, length_s, plan, faults, closing="drawn"):
        """One day as a file."""
        if closing == "drawn":
            closing = self.chance.choice([each for each in self.closings if each != "none"])
        lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {self.chance.randrange(10**8)}",
                 f"length_s = {float(length_s)}"]
        if self.closings[closing]:
            lines.append(f"closing = {value(self.closings[closing])}")
        if self.options.fronts:
            lines.append(f"small = {value(self.twin())}")
        for key, rows in (("plan", plan), ("faults", faults), ("traffic", self.traffic())):
            lines.append(f"{key} = [")
            lines += [f"  {value(row)}," for row in rows]
            lines.append("]")
        path = pathlib.Path(self.options.out_dir) / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")

    def around(self, middle_s, spread_s):
        return round(middle_s + self.chance.uniform(0, spread_s), 2)

    def changes(self):
        """Changes through the whole day, so that each trouble meets some."""
        return {"at": 2.0, **trouble("config_race", count=12, gap_s=1.2)}

    def single(self, suite, times):
        """Each entry `times` over; the second one starts before the first has ended."""
        faults = {**core_troubles(self.losses), **other_troubles()}
        plans = {**planned_troubles(), **other_plans()}
        for name, entry in faults.items():
            rows = [{"at": self.around(FIRST_TROUBLE_S + 2.5 * turn, 1), **entry} for turn in range(times)]
            self.write(f"{suite}-{name}", 24.0, [self.changes()], rows)
        for name, entry in plans.items():
            rows = [{"at": self.around(FIRST_TROUBLE_S + 2.5 * turn, 1), **entry} for turn in range(times)]
            self.write(f"{suite}-{name}", 26.0, [self.changes(), *rows], [])

    def moments(self):
        """Each trouble of the core at the moments where a core has least to spare."""
        for name, entry in core_troubles(self.losses).items():
            many = {"at": 2.0, **trouble("config_race", count=60, gap_s=0.5)}
            replaced = {"at": REPLACE_AT_S, **trouble("replace_core", "planned", count=1, x=1.0)}
            lost = {"at": REPLACE_AT_S, **trouble("replace_core", count=1, x=1.5)}
            self.write(f"replacing-{name}", 34.0, [many, replaced],
                       [{"at": self.around(REPLACE_AT_S + 0.2, 3), **entry}])
            self.write(f"caught-up-{name}", 36.0, [many, replaced],
                       [{"at": self.around(REPLACE_AT_S + self.catch_up_s, 2), **entry}])
            self.write(f"after-loss-{name}", 36.0, [many, lost],
                       [{"at": self.around(REPLACE_AT_S + 1.5 + self.catch_up_s, 1), **entry}])
            away = {"at": 4.0, **trouble("node_kill", "power", on="core", count=1, for_s=AWAY_S)}
            fast = {"at": 2.0, **trouble("config_race", count=200, gap_s=0.25)}
            self.write(f"snapshot-{name}", 60.0, [fast], [away, {"at": self.around(4.1 + AWAY_S, 0.8), **entry}])
            racing = {"at": 6.0, **trouble("config_race", count=60, gap_s=0.05)}
            self.write(f"racing-{name}", 30.0, [racing], [{"at": self.around(7.0, 2), **entry}])

    def histories(self):
        """A replacement, a wipe, a cut and a closing wipe in several orders, each at drawn times."""
        steps = {
            "replace": ("plan", trouble("replace_core", "planned", count=1, x=1.0)),
            "lose": ("plan", trouble("replace_core", count=1, x=1.5)),
            "wipe": ("faults", trouble("after_ack_wipe", for_s=3.0)),
            "wipes": ("faults", trouble("after_ack_wipe", count=self.losses, for_s=3.0)),
            "cut": ("faults", trouble("core_cut", "leader race", count=self.losses, for_s=8.0)),
            "both": ("faults", trouble("core_cut", "both race", count=self.losses, for_s=6.0)),
            "seeds": ("faults", trouble("seed_turnover")),
        }
        orders = [("replace", "wipe", "cut"), ("wipe", "replace", "cut"), ("replace", "replace", "wipe"),
                  ("wipe", "wipe", "cut"), ("replace", "cut", "wipes"), ("lose", "wipe", "cut"),
                  ("wipes", "replace", "both"), ("lose", "lose", "wipes"), ("replace", "seeds", "wipe"),
                  ("wipe", "both", "replace")]
        for order in orders:
            rows = {"plan": [{"at": 2.0, **trouble("config_race", count=20, gap_s=1.5)}], "faults": []}
            at = 4.0
            for step in order:
                part, entry = steps[step]
                rows[part].append({"at": round(at, 2), **entry})
                at += self.chance.uniform(self.catch_up_s + 4, self.catch_up_s + 10)
            name = "-".join(order)
            self.write(f"history-{name}", round(at + 2, 1), rows["plan"], rows["faults"], "wipe_after_ack-aimed")

    def ends(self):
        """Each closing after a calm day, and after hundreds of changes eight at a time."""
        for name in self.closings:
            self.write(f"closing-calm-{name}", 16.0, [self.changes()], [], name)
            busy = {"at": 2.0, **trouble("config_race", count=200, gap_s=0.1)}
            self.write(f"closing-busy-{name}", 24.0, [busy], [], name)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site")
    parser.add_argument("out_dir")
    parser.add_argument("--suite", action="append", choices=["alone", "twice", "moments", "histories", "closings"])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fronts", type=int, default=0)
    parser.add_argument("--rate", type=float, default=1.0)
    options = parser.parse_args()
    with open(options.site, "rb") as file:
        site = tomllib.load(file)
    pathlib.Path(options.out_dir).mkdir(parents=True, exist_ok=True)
    writer = Writer(site, options)
    suites = {
        "alone": lambda: writer.single("alone", 1),
        "twice": lambda: writer.single("twice", 2),
        "moments": writer.moments,
        "histories": writer.histories,
        "closings": writer.ends,
    }
    for name in options.suite or suites:
        suites[name]()


if __name__ == "__main__":
    main()
