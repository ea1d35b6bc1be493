#!/usr/bin/env python3
"""Measures membership with agents as real processes, for docs/CAPACITY.md.

Usage: scripts/membership_sizes.py [SIZE ...], by default 7 14 28 56. Prints one table row per size: bytes and datagrams
sent and processor time per agent and second without changes, and the time until every other agent knows that a host
leaves. Settings are those of tests/support/cluster: the defaults, three availability zones, one platform stand-in.
"""
import json
import os
import re
import subprocess
import sys
import tempfile
import time
import urllib.request
from datetime import datetime
from pathlib import Path

BIN = Path(__file__).resolve().parent.parent / "build/bin"
ZONES = ["colombo-a", "colombo-b", "negombo"]
SETTLE_S = 15  # after this time the datagrams no longer carry the joins
MEASURE_S = 15
JOIN_TIMEOUT_S = 60
LEAVE_TIMEOUT_S = 20
SEEDS = 3


def wait_for(condition, timeout_s, what):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.1)
    raise RuntimeError(f"timed out after {timeout_s} s: {what}")


def log_time(line):
    return datetime.strptime(re.search(r"time=(\S+)Z", line).group(1), "%Y-%m-%dT%H:%M:%S.%f").timestamp()


class Agent:
    def __init__(self, folder, number, platform, seeds):
        self.host = f"entry-{number}"
        self.log = folder / f"agent-{number}.log"
        settings = {"host": self.host, "availability_zone": ZONES[(number - 1) % len(ZONES)], "platform": platform,
                    "fleet_keys": ["bench-fleet-key"], "link_listen": "127.0.0.1:0", "probe_listen": "127.0.0.1:0",
                    "http_listen": "127.0.0.1:0", "seeds": seeds}
        path = folder / f"agent-{number}.json"
        path.write_text(json.dumps(settings))
        with self.log.open("w") as out:
            self.process = subprocess.Popen([BIN / "anvillead-agent", "--settings", path], stdout=out, stderr=out)
        started = wait_for(lambda: re.search(r"process_started.* link=(\S+) .*http=(\S+)", self.log.read_text()), 10,
                           f"{self.host} starts")
        self.link, self.http = started.group(1), started.group(2)

    def metrics(self):
        with urllib.request.urlopen(f"http://{self.http}/metrics", timeout=5) as answer:
            lines = answer.read().decode().splitlines()
        return {key: float(value) for key, value in (it.rsplit(" ", 1) for it in lines if it and it[0] != "#")}

    def sent(self):
        out = {"bytes": 0.0, "messages": 0.0}
        for key, value in self.metrics().items():
            for kind in out:
                if key.startswith(f"anvillead_control_sent_{kind}_total"):
                    out[kind] += value
        return out

    def processor_s(self):
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def leave_logged_at(self, host):
        for line in self.log.read_text().splitlines():
            if "name=member_leaving" in line and line.endswith(f" host={host}") or f" host={host} " in line \
                    and "name=member_leaving" in line:
                return log_time(line)
        return None


def measure(size, folder):
    agents = []
    platform_log = folder / "platform.log"
    with platform_log.open("w") as out:
        platform = subprocess.Popen([BIN / "standin-platform", "--listen", "127.0.0.1:0"], stdout=out, stderr=out)
    try:
        address = wait_for(lambda: re.search(r"listening (\S+)", platform_log.read_text()), 10,
                           "the platform stand-in starts").group(1)
        for number in range(1, size + 1):
            agents.append(Agent(folder, number, address, [it.link for it in agents[:SEEDS]]))
        wait_for(lambda: all(it.metrics().get("anvillead_members_live") == size for it in agents), JOIN_TIMEOUT_S,
                 "every agent lists all members")
        time.sleep(SETTLE_S)
        before = [(it.sent(), it.processor_s()) for it in agents]
        begin = time.monotonic()
        time.sleep(MEASURE_S)
        after = [(it.sent(), it.processor_s()) for it in agents]
        elapsed_s = time.monotonic() - begin
        sent = sorted((b[0]["bytes"] - a[0]["bytes"]) / elapsed_s for a, b in zip(before, after))
        messages = sum(b[0]["messages"] - a[0]["messages"] for a, b in zip(before, after)) / elapsed_s / size
        cpu = sum(b[1] - a[1] for a, b in zip(before, after)) / elapsed_s / size
        leaving, others = agents[-1], agents[:-1]
        leaving.process.terminate()
        times = wait_for(lambda: (lambda t: t if all(t) else None)([it.leave_logged_at(leaving.host)
                                                                    for it in others]), LEAVE_TIMEOUT_S,
                         "every agent knows that the host leaves")
        began = next(log_time(it) for it in leaving.log.read_text().splitlines() if "shutdown_began" in it)
        return (f"| {size} | {sent[len(sent) // 2]:.0f} ({sent[0]:.0f} to {sent[-1]:.0f}) | {messages:.2f} |"
                f" {cpu * 100:.3f} % | {(max(times) - began) * 1000:.0f} |")
    finally:
        for it in [*(agent.process for agent in agents), platform]:
            it.kill()
            it.wait()


def main():
    print("| agents | bytes sent a second, median (range) | messages sent a second | processor, of a core |"
          " last agent knows a leaving host after [ms] |")
    print("|---|---|---|---|---|")
    for size in [int(it) for it in sys.argv[1:]] or [7, 14, 28, 56]:
        with tempfile.TemporaryDirectory() as folder:
            print(measure(size, Path(folder)), flush=True)


if __name__ == "__main__":
    main()
