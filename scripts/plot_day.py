#!/usr/bin/env python3
"""Draws a played day as SVG from its output with all logs.

Two panels over the seconds of the day: what callers were served (the table
"from second"), and endpoints: planned need, ordered, and usable as the entry
sees them that logs most.

Usage: plot_day.py OUTPUT SVG TITLE
"""
import collections
import json
import re
import sys

WIDTH, PANEL, LEFT, TOP, GAP = 760, 190, 60, 40, 60
COLOURS = ("#1b6ca8", "#c0392b", "#2e8b57")
# A line of the table: second, asked, in time, late, ..., worth.
WINDOW = re.compile(r"^(-?\d+)\s+(\d+)\s+\d+\s+\d+\s+\d+\s+\d+\s+\d+\s+(\d\.\d+)")
LOGGED = re.compile(r"^\s*(-?\d+\.\d+)\s+(\S+)\s+(\{.*\})\s*$")


def read(path):
    """Returns (worth by second, log entries as (second, instance, object))."""
    worth, logged, in_table, torn = [], [], False, 0
    with open(path, encoding="utf-8", errors="replace") as f:
        for line in f:
            if line.startswith("from second"):
                in_table = True
            elif in_table and WINDOW.match(line):
                m = WINDOW.match(line)
                worth.append((float(m.group(1)), float(m.group(3))))
            else:
                in_table = False
                m = LOGGED.match(line)
                entry = parse(m.group(3)) if m else None
                if entry:
                    logged.append((float(m.group(1)), m.group(2), entry))
                torn += bool(m) and not entry
    if torn:
        sys.stderr.write(f"{path}: {torn} torn lines left out\n")
    return worth, logged


def parse(text):
    """The entry of a log line; None if its process died while it wrote."""
    try:
        entry = json.loads(text)
    except json.JSONDecodeError:
        return None
    return entry if isinstance(entry, dict) and "event" in entry else None


def endpoints(logged):
    """Need, ordered and usable endpoints over time."""
    need, ordered, usable = [], [], []
    orders, known = {}, set()
    counts = collections.Counter(i for _, i, o in logged
                                 if o["event"] == "endpoint")
    watcher = counts.most_common(1)[0][0] if counts else None
    scaled = {o["service"] for _, _, o in logged if o["event"] == "order"}
    for at, instance, o in logged:
        if o["event"] == "order":
            orders[(o["service"], o["zone"], o["reclaimable"])] = o["number"]
            ordered.append((at, sum(orders.values())))
            need.append((at, o["need"]))
        elif (o["event"] == "endpoint" and instance == watcher
              and o["service"] in scaled):
            if o["change"] in ("new", "back", "restarted"):
                known.add(o["endpoint"])
            elif o["change"] in ("draining", "gone", "unlisted"):
                known.discard(o["endpoint"])
            usable.append((at, len(known)))
    return [("need", need), ("ordered", ordered), ("usable", usable)]


def steps(points, x_of, y_of):
    """An SVG path that holds each value until the next."""
    path = []
    for k, (x, y) in enumerate(points):
        if not k:
            path.append(f"M{x_of(x):.1f},{y_of(y):.1f}")
            continue
        path.append(f"H{x_of(x):.1f}V{y_of(y):.1f}")
    return "".join(path)


def panel(title, series, top, seconds):
    """One panel with its axes, as SVG elements."""
    high = max((y for _, points in series for _, y in points), default=1) or 1
    first, last = seconds

    def x_of(x):
        return LEFT + (x - first) / (last - first) * (WIDTH - LEFT - 20)

    def y_of(y):
        return top + PANEL - y / high * (PANEL - 20)

    out = [f'<text x="{LEFT}" y="{top}" font-weight="bold">{title}</text>',
           f'<path d="M{LEFT},{top + 8}V{top + PANEL}H{WIDTH - 20}" '
           'stroke="#444" fill="none"/>']
    for part in (0, 0.5, 1):
        out.append(f'<text x="{LEFT - 6}" y="{y_of(high * part) + 4:.1f}" '
                   f'text-anchor="end">{high * part:.3g}</text>')
    for x in range(int(first) // 10 * 10, int(last) + 1, 10):
        if x >= first:
            out.append(f'<text x="{x_of(x):.1f}" y="{top + PANEL + 16}" '
                       f'text-anchor="middle">{x} s</text>')
    for k, (name, points) in enumerate(series):
        colour = COLOURS[k % len(COLOURS)]
        out.append(f'<path d="{steps(points, x_of, y_of)}" fill="none" '
                   f'stroke="{colour}" stroke-width="1.5"/>')
        out.append(f'<text x="{WIDTH - 24}" y="{top + 4 + 15 * k}" '
                   f'text-anchor="end" fill="{colour}">{name}</text>')
    return out


def main():
    """Reads a day's output and writes the picture."""
    source, target, title = sys.argv[1:4]
    worth, logged = read(source)
    if not worth:
        sys.exit(f"{source}: no table of seconds; was the day played whole?")
    fleet = endpoints(logged)
    seconds = (worth[0][0], worth[-1][0] + 2)
    height = TOP + 2 * (PANEL + GAP)
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
           f'height="{height}" font-family="sans-serif" font-size="12">',
           f'<rect width="{WIDTH}" height="{height}" fill="white"/>',
           f'<text x="{LEFT}" y="18" font-size="15">{title}</text>']
    out += panel("worth served, part of what was owed",
                 [("worth", worth)], TOP + 10, seconds)
    clipped = [(name, [p for p in points if seconds[0] <= p[0] <= seconds[1]])
               for name, points in fleet]
    out += panel("endpoints of the engines", clipped, TOP + PANEL + GAP + 10,
                 seconds)
    out.append("</svg>")
    with open(target, "w", encoding="utf-8") as f:
        f.write("\n".join(out) + "\n")


if __name__ == "__main__":
    main()
