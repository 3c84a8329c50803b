#!/usr/bin/env python3
"""Plays varied days on several checkouts of the code and compares them.

Each day is played with the same seed on every checkout, so that luck falls
out of the difference. Prints a line a checkout: mean worth, and the mean
difference to the first one with its standard error.

Usage: pairs.py PLAYER --why TEXT --site FILE [--site FILE] [--seeds N]
                [--jobs N] [--days NAME,...] CHECKOUT CHECKOUT...
"""
import argparse
import concurrent.futures
import math
import os
import re
import statistics
import subprocess
import sys
import time

DAYS = "quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3"
# "name  9/13   0.73  0.634 ...": score, then worth.
FIGURES = re.compile(r"^\S+\s+\d+/\d+\s+(\S+)\s+(-?\d+\.\d+)\s")


def play(player, checkout, site, day, seed, why):
    """Returns (worth, whether a rule was broken); worth None: not played."""
    command = [player, "run", site, day, "--vary", "--seed", str(seed),
               "--no-cpu", "--why", why]
    done = subprocess.run(command, cwd=checkout, text=True, check=False,
                          stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
    for line in done.stdout.splitlines():
        found = FIGURES.match(line)
        if found:
            return float(found.group(2)), "BROKEN" in line.upper()
    sys.stderr.write(f"{checkout} {day} {seed}: no figures\n")
    return None, False


def error_of_mean(values):
    """The standard error of the mean; NaN if there are too few."""
    if len(values) < 2:
        return math.nan
    return statistics.stdev(values) / math.sqrt(len(values))


def report(site, checkouts, rows):
    """Prints the table of one site; rows: a list of worths, one a checkout."""
    whole = [row for row in rows if None not in row]
    print(f"{os.path.basename(site)}: {len(whole)} pairs of {len(rows)}")
    for k, checkout in enumerate(checkouts):
        worths = [row[k] for row in whole]
        gains = [row[k] - row[0] for row in whole]
        print(f"  {os.path.basename(checkout):24} mean {statistics.mean(worths):.3f}"
              f"  difference {statistics.mean(gains):+.4f}"
              f" (standard error {error_of_mean(gains):.4f})")
    sys.stdout.flush()


def main():
    """Reads the arguments, builds once, plays and reports."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("player")
    parser.add_argument("checkouts", nargs="+")
    parser.add_argument("--why", required=True)
    parser.add_argument("--site", action="append", required=True)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--days", default=DAYS)
    a = parser.parse_args()
    for checkout in a.checkouts:
        subprocess.run([a.player, "build"], cwd=checkout, check=True,
                       stdout=subprocess.DEVNULL)
    seeds = range(a.first_seed, a.first_seed + a.seeds)
    broken = 0
    with concurrent.futures.ThreadPoolExecutor(a.jobs) as pool:
        for site in a.site:
            plays = [(day, seed) for day in a.days.split(",") for seed in seeds]
            futures = [[pool.submit(play, a.player, c, site, day, seed, a.why)
                        for c in a.checkouts] for day, seed in plays]
            results = [[f.result() for f in row] for row in futures]
            for (day, seed), row in zip(plays, results):
                for checkout, (_, wrong) in zip(a.checkouts, row):
                    if wrong:
                        broken += 1
                        print(f"  BROKEN: {checkout} {day} seed {seed}")
            report(site, a.checkouts, [[w for w, _ in row] for row in results])
    print(f"broken rules: {broken}, at {time.strftime('%H:%M:%S')}")


if __name__ == "__main__":
    main()
