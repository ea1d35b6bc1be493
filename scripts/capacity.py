#!/usr/bin/env python3
"""Rewrites the generated tables of docs/CAPACITY.md from the output of `anvillead-bench slopes --json`.

Usage: scripts/capacity.py [FILE]. Without a file the measurement is run. The calculated figures use the target size
of docs/design.md 1.8 and the assumptions listed in the page.
"""
import json
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs/CAPACITY.md"

NODES = 420
ENGINES = 600
REQUESTS = 11_000  # per second
TOKENS = 2_700_000  # per second
ORGANISATIONS = 37_000
CHANGES = 620  # per day
WATCHERS = 10  # two in each of five availability zones
WATCH_WAIT_S = 10
GAP_S = 0.03  # mean time between tokens assumed for the number of open streams
PROGRESS_S = (0.1, 0.5)  # shortest and longest period of progress reports
PROGRESS_ENTRIES = 400  # per second; sets the period between the two bounds above
FULL_ENTRY_S = 20
SCHEDULERS = 10  # schedulers that one gateway reports to: the 19 cells of at most 32 engines are in two regions
LOAD_HZ = 5
LIMIT_BYTES, LIMIT_CORE, LIMIT_MEMORY = 17_000, 0.01, 256e6
LIMIT_READS, LIMIT_WRITES = 2_000, 300


def fit(points):
    """Fits a least-squares line; returns slope, intercept and largest residual relative to the largest value."""
    n = len(points)
    mean_x = sum(p[0] for p in points) / n
    mean_y = sum(p[1] for p in points) / n
    var = sum((p[0] - mean_x) ** 2 for p in points)
    slope = sum((p[0] - mean_x) * (p[1] - mean_y) for p in points) / var
    intercept = mean_y - slope * mean_x
    largest = max(abs(p[1]) for p in points) or 1
    residual = max(abs(p[1] - slope * p[0] - intercept) for p in points) / largest
    return slope, intercept, residual


def format_number(value):
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def slope_table(slopes):
    rows = ["| slope | points (x: y) | fit per unit | offset | largest residual |", "|---|---|---|---|---|"]
    for it in slopes:
        slope, intercept, residual = fit(it["points"])
        points = ", ".join(f"{format_number(x)}: {format_number(y)}" for x, y in it["points"])
        note = "" if residual <= 0.1 else " (not a straight line)"
        rows.append(f"| {it['name']} [{it['y_unit']}] | {points} | {format_number(slope)} |"
                    f" {format_number(intercept)} | {residual * 100:.1f} %{note} |")
    return "\n".join(rows)


def verdict(value, limit):
    return "within" if value <= limit else "**misses**"


def last_value(slopes, name):
    return next(it for it in slopes if it["name"] == name)["points"][-1][1]


def node_table(slopes):
    def slope_of(name):
        return fit(next(it for it in slopes if it["name"] == name)["points"])[0]

    requests = REQUESTS / NODES
    streams = TOKENS * GAP_S / NODES
    engines = ENGINES / NODES
    membership = last_value(slopes, "agent.membership bytes sent per second")
    period = min(max(streams / PROGRESS_ENTRIES, PROGRESS_S[0]), PROGRESS_S[1])
    entry = slope_of("messages.bytes per progress entry")
    short_entries = streams / period * entry
    report_headers = SCHEDULERS / period * (slope_of("messages.bytes per report of one short entry") - entry)
    # Worst case, one message each: a new grant is reported after the shortest period, the end of a grant at once.
    single_entries = 2 * requests * slope_of("messages.bytes per grant listed alone without names")
    full_entries = streams / FULL_ENTRY_S * slope_of("messages.bytes per full progress entry")
    grants = requests * slope_of("messages.bytes per request")
    # The last points of the configuration slopes are at the target size.
    change = last_value(slopes, "messages.bytes of one changed organisation")
    config = change * CHANGES / 86_400
    total = membership + short_entries + report_headers + single_entries + full_entries + grants + config
    core = {
        "gateway and scheduler: progress entries":
            streams / period * slope_of("scheduler.processor per progress entry") / 1e6,
        "gateway and scheduler: first and last entries of grants":
            2 * requests * slope_of("scheduler.processor per end of a grant") / 1e6,
        "gateway and scheduler: full progress entries":
            streams / FULL_ENTRY_S * slope_of("scheduler.processor per full progress entry") / 1e6,
        "scheduler: requests with their links":
            requests * slope_of("scheduler.processor per request on the wire") / 1e6,
        "scheduler: engine load reports":
            engines * LOAD_HZ * slope_of("scheduler.processor per engine load report") / 1e6,
        "agent: membership": last_value(slopes, "agent.membership processor per second") / 1e6,
        "agent, gateway, scheduler: configuration changes":
            3 * last_value(slopes, "any.processor of one changed organisation") * CHANGES / 86_400 / 1e6,
    }
    memory = {
        "member table": NODES * slope_of("agent.memory per member"),
        "configuration in three processes": 3 * last_value(slopes, "any.memory per organisation"),
        "grants in the scheduler": streams * slope_of("scheduler.memory per running grant"),
    }
    # For each change, a watcher reads the header, the list and the changed part at most once each.
    reads = WATCHERS / WATCH_WAIT_S + CHANGES * 3 * WATCHERS / 86_400
    merging = last_value(slopes, "watcher.processor per organisation and change") * CHANGES / 86_400 / 1e6
    rows = ["| cost of control per node | worked out | limit | verdict |", "|---|---|---|---|"]

    def row(name, value, unit, limit=None):
        rows.append(f"| {name} | {format_number(value)} {unit} |"
                    f" {'' if limit is None else format_number(limit) + ' ' + unit} |"
                    f" {'' if limit is None else verdict(value, limit)} |")

    row("membership datagrams sent", membership, "B/s")
    row(f"short progress entries ({streams:.0f} streams every {period * 1e3:.0f} ms)", short_entries, "B/s")
    row(f"their reports ({SCHEDULERS} schedulers)", report_headers, "B/s")
    row("first and last entry of each grant", single_entries, "B/s")
    row(f"full progress entries (every {FULL_ENTRY_S} s)", full_entries, "B/s")
    row(f"grant requests and grants ({requests:.1f} a second)", grants, "B/s")
    row(f"configuration, header and one part of together {change / 1e3:.0f} KB sent once a change", config, "B/s")
    row("**bytes sent**", total, "B/s", LIMIT_BYTES)
    row("in addition when every request waits for a grant: a second scheduler asked", grants, "B/s")
    for name, value in core.items():
        row(name, value * 100, "% of a core")
    row("**share of a core for control**", sum(core.values()) * 100, "% of a core", LIMIT_CORE * 100)
    row("in addition on the agent that accepts: merging the folder", merging * 100, "% of a core")
    row("in addition when every request waits for a grant: a second scheduler asked",
        core["scheduler: requests with their links"] * 100, "% of a core")
    for name, value in memory.items():
        row(name, value / 1e6, "MB")
    row("**memory for control**", sum(memory.values()) / 1e6, "MB", LIMIT_MEMORY / 1e6)
    row("the `accepted` object, one value", last_value(slopes, "platform.bytes of the accepted object") / 1e6, "MB", 1)
    row("the largest part, one value", last_value(slopes, "platform.bytes of the largest part") / 1e6, "MB", 1)
    row("platform reads a second, whole fleet", reads, "calls/s", LIMIT_READS)
    row("platform writes a second, whole fleet (configuration)", CHANGES * 6 / 86_400, "calls/s", LIMIT_WRITES)
    rows.append("")
    rows.append("| data path per node, for comparison (not control) | worked out |")
    rows.append("|---|---|")
    rows.append(f"| gateway processor for tokens ({TOKENS / NODES:,.0f} a second) |"
                f" {TOKENS / NODES * slope_of('gateway.processor per token') / 1e4:.1f} % of a core |")
    rows.append(f"| gateway processor for requests | "
                f"{requests * slope_of('gateway.processor per request') / 1e4:.1f} % of a core |")
    lookup = last_value(slopes, "gateway.processor per authentication")  # its last point is at the target size
    rows.append(f"| one authentication among {ORGANISATIONS:,} organisations | {lookup / 1000:.4f} ms |")
    return "\n".join(rows)


def replace_table(text, marker, table):
    begin, end = f"<!-- {marker} begin -->", f"<!-- {marker} end -->"
    head, rest = text.split(begin, 1)
    tail = rest.split(end, 1)[1]
    return f"{head}{begin}\n{table}\n{end}{tail}"


def main():
    if len(sys.argv) > 1:
        raw = Path(sys.argv[1]).read_text()
    else:
        raw = subprocess.run([ROOT / "build/bin/anvillead-bench", "slopes", "--json"], check=True, text=True,
                             capture_output=True).stdout
    slopes = json.loads(raw)["slopes"]
    text = PAGE.read_text()
    text = replace_table(text, "slopes", slope_table(slopes))
    text = replace_table(text, "node", node_table(slopes))
    PAGE.write_text(text)


if __name__ == "__main__":
    main()
