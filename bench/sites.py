#!/usr/bin/env python3
"""Draws deployments from a given one, to see whether decisions carry over.

Reads a site file where it lies and writes altered copies: engines a few times
slower or faster, with other slots, batches and memory; other times to start,
prices and shares of the market; other traffic, mixes and objectives. The same
seed draws the same deployment from the same file.

Usage: sites.py SITE OUTDIR --first SEED --count N
"""
import argparse
import math
import os
import random
import re
import shutil
import sys
import tomllib

# An engine's speed against the given one's, and what may differ besides.
SPEED = (0.35, 2.5)
STEP = (0.7, 1.5)
SLOTS = (8, 12, 16, 24, 32, 48, 64, 96)
MEMORY = (0.4, 1.6)
BOOT_S = (2.0, 9.0)
SPOT_PRICE = (0.12, 0.6)
ZONE_PRICE = (0.7, 1.5)
TRAFFIC = (0.6, 1.4)
MIX = (0.5, 1.8)
OBJECTIVE = (0.7, 1.8)
# Of what all endpoints that may be ordered can do, the load takes at most
# this: beyond it no decision helps.
MOST_USED = 0.3


def log_uniform(rng, bounds):
    """Evenly over orders of magnitude."""
    return math.exp(rng.uniform(math.log(bounds[0]), math.log(bounds[1])))


class Site:
    """A site file's text, altered figure by figure."""

    def __init__(self, text):
        self.text = text

    def scale(self, name, factor, within=None):
        """Multiplies each `name = number`, in lines that hold `within`."""
        pattern = re.compile(rf"(?<![\w]){name} = (-?\d+(?:\.\d+)?)")

        def change(line):
            return pattern.sub(
                lambda m: f"{name} = {number(m.group(1), factor)}", line)
        self.lines(change, within)

    def set(self, name, value, within=None):
        """Sets each `name = number`, in lines that hold `within`."""
        pattern = re.compile(rf"(?<![\w]){name} = -?\d+(?:\.\d+)?")
        self.lines(lambda line: pattern.sub(f"{name} = {value}", line), within)

    def lines(self, change, within):
        """Applies `change` to lines, all or those that hold `within`."""
        self.text = "\n".join(
            change(line) if within is None or within in line else line
            for line in self.text.split("\n"))


def number(text, factor):
    """The scaled figure, whole if it was."""
    value = float(text) * factor
    if "." in text:
        return f"{value:.6g}" if "." in f"{value:.6g}" else f"{value:.1f}"
    return str(max(1, round(value)))


def draw_engine(rng, site, engine):
    """Speed, slots and memory of the engines."""
    speed = log_uniform(rng, SPEED)
    slots = rng.choice(SLOTS)
    line = 'model = "llm"'
    site.scale("prefill_tokens_per_ms", speed, line)
    for name in ("step_ms", "step_ms_per_slot", "context_ms_per_k",
                 "pairs_ms_per_m", "first_ms"):
        site.scale(name, log_uniform(rng, STEP) / speed, line)
    # The room for waiting requests and the connections stay as they are.
    site.lines(lambda t: re.sub(r", slots = \d+", f", slots = {slots}", t, 1),
               line)
    site.set("batch", slots, line)
    site.scale("kv_tokens", log_uniform(rng, MEMORY), line)
    return engine["prefill_tokens_per_ms"] * speed, slots


def draw_market(rng, site, zones):
    """Time to start and prices."""
    site.set("boot_s", f"{rng.uniform(*BOOT_S):.1f}")
    site.set("spot_price", f"{log_uniform(rng, SPOT_PRICE):.2f}")
    prices = ", ".join(f"{rng.uniform(*ZONE_PRICE):.2f}" for _ in range(zones))
    site.text = re.sub(r"zone_prices = \[[^\]]*\]", f"zone_prices = [{prices}]",
                       site.text)


def draw_load(rng, site, doc, rate, slots, top):
    """Traffic, mix and objectives, within what the endpoints can do."""
    tokens = needed_tokens(doc)
    runs = needed_runs(doc)
    most = min(MOST_USED * rate * 1000 * top / tokens,
               MOST_USED * slots * top / runs)
    traffic = min(log_uniform(rng, TRAFFIC), most)
    site.scale("per_s", traffic, "{ zone =")
    for kind in doc["classes"]:
        site.scale(kind["name"], log_uniform(rng, MIX), "mix = {")
        site.scale("aim_ms", log_uniform(rng, OBJECTIVE),
                   f'name = "{kind["name"]}"')


def streams(doc):
    """(kind, requests a second) of the kinds that engines serve."""
    total = sum(t["per_s"] for t in doc["traffic"])
    mix = doc["traffic"][0]["mix"]
    whole = sum(mix.values())
    for kind in doc["classes"]:
        if "stream" in kind:
            yield kind, total * mix.get(kind["name"], 0) / whole


def needed_tokens(doc):
    """Tokens to be read a second, with a fifth of shared parts anew."""
    return sum(per_s * (kind["stream"]["prompt_tokens"]["mean"] + 0.2 * sum(
        part["tokens"]["mean"] for part in kind["stream"].get("chain", [])))
               for kind, per_s in streams(doc))


def needed_runs(doc):
    """Requests at once, at a fortieth of a second an event."""
    return sum(per_s * kind["stream"]["pieces"]["mean"] * 0.04
               for kind, per_s in streams(doc))


def draw(path, out, seed):
    """Writes one drawn deployment; returns a line about it."""
    with open(path, encoding="utf-8") as f:
        text = f.read()
    doc = tomllib.loads(text)
    rng = random.Random(seed)
    site = Site(text)
    service = next(s for s in doc["services"] if "llm" in s)
    rate, slots = draw_engine(rng, site, service["llm"])
    draw_market(rng, site, len(doc["zones"]))
    top = service["scale"]["max"] * len(service["scale"]["zone_prices"])
    draw_load(rng, site, doc, rate, slots, top)
    name = f"{doc['name']}-drawn-{seed}"
    site.text = site.text.replace(f'name = "{doc["name"]}"',
                                  f'name = "{name}"', 1)
    tomllib.loads(site.text)
    target = os.path.join(out, f"{name}.toml")
    with open(target, "w", encoding="utf-8") as f:
        f.write(site.text)
    for beside in (doc.get("wire", "wire.json"),):
        source = os.path.join(os.path.dirname(path), beside)
        if os.path.exists(source):
            shutil.copyfile(source, os.path.join(out, beside))
    return f"{target}: {rate:.1f} tokens/ms, {slots} slots"


def main():
    """Reads the arguments and draws."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site")
    parser.add_argument("out")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=12)
    a = parser.parse_args()
    os.makedirs(a.out, exist_ok=True)
    for seed in range(a.first, a.first + a.count):
        print(draw(a.site, a.out, seed))
    return 0


if __name__ == "__main__":
    sys.exit(main())
