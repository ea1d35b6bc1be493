#!/usr/bin/env python3
"""Runs a load scenario with the real daemons and the engine stand-ins on loopback and prints what callers saw.

Usage: scripts/scenarios.py {takeover,retry-storm,drafts,flood,cells} [--deployment ceylon|caledonian] [--seed N]
       [--asked 1|2]
The binaries must have been built. ANVILLEAD_BIN names another folder with binaries. KEEP_LOGS=1 keeps the work folder.
"""
import argparse
import collections
import hashlib
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("ANVILLEAD_BIN", ROOT / "build" / "bin"))
MODEL = "large"
# With a batch of 32 generations an engine has 48 ms between tokens, three times the stand-in's default, so that twelve
# engines, seven hosts and the load tool fit on a shared machine.
ENGINE = {"capacity_tokens": 6000, "batch_limit": 32, "step_base_ms": 24, "step_per_sequence_ms": 0.75,
          "log_ran": True}
ENGINE_TOKENS_PER_S = ENGINE["batch_limit"] / (
    ENGINE["step_base_ms"] + ENGINE["step_per_sequence_ms"] * ENGINE["batch_limit"]) * 1000
DRAFT_TOKENS, CHECK_TOKENS = 150, 25
CHECKS_PER_ENGINE_S = 2
HOSTS = 7
DEPLOYMENTS = {
    "ceylon": {"zones": ["colombo-a", "colombo-b", "negombo"], "engines": 12, "weights": [5, 3, 3] + [1] * 7,
               "check": "clearance-check", "draft": "appointment-sheet"},
    "caledonian": {"zones": ["leith", "gyle", "musselburgh"], "engines": 14, "weights": [6, 4, 2] + [1] * 7,
                   "check": "till-lookup", "draft": "bibliographic-draft"},
}


def http(address, path, body=None):
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(f"http://{address}{path}", data=data, timeout=5) as answer:
        return answer.read().decode()


class Fleet:
    """All processes of one deployment."""

    def __init__(self, deployment, two_cells=False, asked=None, draft_load=0.5):
        """With `two_cells`, engines in the second half by id are slow. `asked` sets schedulers_asked of the gateways.
        `draft_load` is the drafts as a part of what all engines would decode at full speed."""
        self.deployment = DEPLOYMENTS[deployment]
        self.two_cells = two_cells
        self.asked = asked
        self.draft_load = draft_load
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="anvillead-scenario-"))
        self.running = {}
        self.logs = {}
        self.addresses = {}
        self.schedulers = {}
        self.ran_before = collections.Counter()

    def __enter__(self):
        try:
            self._start_all()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder)

    def start(self, name, *command):
        self.logs[name] = self.folder / f"{name}.log"
        with open(self.logs[name], "ab") as log:
            self.running[name] = subprocess.Popen([str(it) for it in command], stdout=log, stderr=log)

    def find_in_log(self, name, pattern):
        for _ in range(400):
            found = re.search(pattern, self.logs[name].read_text())
            if found:
                return found.group(1)
            time.sleep(0.05)
        raise RuntimeError(f"{name} did not start: {self.logs[name].read_text()}")

    def kill(self, name):
        self.running[name].kill()
        self.running[name].wait()

    def engines(self):
        return [f"engine-{i + 1}" for i in range(self.deployment["engines"])]

    def cell_size(self):
        return (self.deployment["engines"] + 1) // 2

    def start_engine(self, name, listen="127.0.0.1:0"):
        control = dict(ENGINE)
        # Cells divide the engines in id order.
        if self.two_cells and sorted(self.engines()).index(name) >= self.cell_size():
            control.update({it: ENGINE[it] * SLOW_FACTOR for it in ("step_base_ms", "step_per_sequence_ms")})
        self.start(name, BIN / "standin-engine", "--control", json.dumps(control), "--listen", listen)

    def zone(self, number):
        return self.deployment["zones"][number % len(self.deployment["zones"])]

    def start_daemon(self, name, number, settings):
        settings = {"host": f"entry-{number}", "availability_zone": self.zone(number),
                    "platform": self.addresses["platform"], "fleet_keys": ["scenario-key"], **settings}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.start(name, BIN / f"anvillead-{name.split('-')[0]}", "--settings", path)

    def _start_all(self):
        self.start("platform", BIN / "standin-platform")
        for name in self.engines():
            self.start_engine(name)
        for name in ["platform"] + self.engines():
            self.addresses[name] = self.find_in_log(name, r"listening ([0-9.:]+)")
        for i in range(HOSTS):
            self.start_daemon(f"agent-{i}", i, {"link_listen": "127.0.0.1:0", "probe_listen": "127.0.0.1:0",
                                                "hosts_period_ms": 300})
        for i in range(HOSTS):
            self.addresses[f"agent-{i}"] = agent = self.find_in_log(f"agent-{i}",
                                                                    r"process_started.*\blink=([0-9.:]+)")
            self.start_daemon(f"scheduler-{i}", i, {"listen": "127.0.0.1:0", "http_listen": "127.0.0.1:0",
                                                    "agent": agent})
            asked = {} if self.asked is None else {"schedulers_asked": self.asked}
            self.start_daemon(f"gateway-{i}", i, {"listen": "127.0.0.1:0", "link_listen": "127.0.0.1:0", "agent": agent,
                                                  **asked})
        for i in range(HOSTS):
            self.addresses[f"scheduler-{i}"] = self.find_in_log(f"scheduler-{i}", r"process_started.*\bhttp=([0-9.:]+)")
            self.addresses[f"gateway-{i}"] = self.find_in_log(f"gateway-{i}", r"process_started.*\blisten=([0-9.:]+)")
        hosts = [{"id": f"entry-{i}", "address": self.addresses[f"agent-{i}"], "availability_zone": self.zone(i),
                  "leaving": False} for i in range(HOSTS)]
        http(self.addresses["platform"], "/control", {"hosts": hosts})
        self._configure()
        for i in range(HOSTS):
            self._wait_until_ready(self.addresses[f"gateway-{i}"])
        # Time for every scheduler to learn of the others and for the owner to receive the first load report of each
        # engine.
        time.sleep(3)

    def _configure(self):
        config = self.folder / "config"
        config.mkdir()
        upstreams = [{"id": it, "address": self.addresses[it], "availability_zone": self.zone(i),
                      "capacity_tokens": ENGINE["capacity_tokens"], "batch_limit": ENGINE["batch_limit"]}
                     for i, it in enumerate(self.engines())]
        organisations = [{"name": f"o{i}", "weight": weight, "key_hashes": [hashlib.sha256(key(i).encode()).hexdigest()]}
                         for i, weight in enumerate(self.deployment["weights"])]
        work = {"idempotent": True, "service": "engines"}
        document = {
            "models": [{"name": MODEL, "context_tokens": 32000}],
            "services": [{"name": "engines", "kind": "engine", "models": [MODEL], "checks_fencing": True,
                          "upstreams": upstreams, **({"engines_per_cell": self.cell_size()} if self.two_cells else {})}],
            "organisations": organisations,
            "workloads": [
                {"name": self.deployment["check"], "class": "urgent", "output_limit_tokens": 200, "deadline_ms": 5000,
                 **work},
                {"name": self.deployment["draft"], "class": "draft", "output_limit_tokens": 4000, **work}]}
        (config / "10-all.json").write_text(json.dumps(document))
        subprocess.run([str(BIN / "anvilleadctl"), "config", "apply", str(config), self.addresses["platform"]],
                       check=True, stdout=subprocess.DEVNULL)

    def _wait_until_ready(self, address):
        for _ in range(400):
            try:
                http(address, "/readyz")
                return
            except OSError:
                time.sleep(0.05)
        raise RuntimeError(f"{address} is not ready")

    def owner(self):
        """The scheduler that owns the engines: the running one whose last scheduler_takeover log entry counts any."""
        for name, log in self.logs.items():
            owned = re.findall(r"scheduler_takeover engines=(\d+)", log.read_text())
            if name.startswith("scheduler") and owned and int(owned[-1]) > 0 and self.running[name].poll() is None:
                return name
        raise RuntimeError("no scheduler owns the engines")

    def load(self, name, seed, rate, seconds, workloads, weights, retry="retry-after", timeout="0"):
        output = open(self.folder / f"{name}.out", "wb")
        command = [BIN / "anvillead-load", "--json", "--records", "--seed", seed, "--rate", rate, "--seconds", seconds,
                   "--retry", retry, "--patience", 45, "--model", MODEL, "--attempt-timeout", timeout]
        for i in range(HOSTS):
            command += ["--gateway", self.addresses[f"gateway-{i}"]]
        for workload, weight, mean in workloads:
            command += ["--workload", f"{workload}:{weight}:{mean}"]
        for i, weight in weights:
            command += ["--organisation", f"{key(i)}:{weight}"]
        process = subprocess.Popen([str(it) for it in command], stdout=output, stderr=subprocess.STDOUT)
        self.running[name] = process
        return lambda: self._report(name)

    def _report(self, name):
        self.running[name].wait()
        return json.loads((self.folder / f"{name}.out").read_text())

    def checks(self, seed, seconds, **more):
        rate = CHECKS_PER_ENGINE_S * self.deployment["engines"]
        return self.load("checks", seed, rate, seconds, [(self.deployment["check"], 1, CHECK_TOKENS)],
                         list(enumerate(self.deployment["weights"])), **more)

    def drafts(self, name, seed, seconds, load_share, weights=None, **more):
        """Starts drafts at `load_share` of the rate that the engines decode with full batches."""
        rate = load_share * ENGINE_TOKENS_PER_S * self.deployment["engines"] / DRAFT_TOKENS
        return self.load(name, seed, rate, seconds, [(self.deployment["draft"], 1, DRAFT_TOKENS)],
                         weights or list(enumerate(self.deployment["weights"])), **more)

    def preemptions(self):
        return sum(json.loads(http(self.addresses[it], "/load"))["preemptions"] for it in self.engines()
                   if self.running[it].poll() is None)

    def generation_starts(self):
        """Number of generations started for each request, from the engines' logs; killed engines included."""
        out = collections.Counter()
        for it in self.engines():
            out.update(re.findall(r"\bload-\d+-\d+", self.logs[it].read_text()))
        return out

    def metrics(self, role, pattern):
        """Sums the metrics that match the pattern over all running processes of a role, by metric name and labels."""
        out = collections.Counter()
        for i in range(HOSTS):
            if self.running[f"{role}-{i}"].poll() is None:
                text = http(self.addresses[f"{role}-{i}"], "/metrics")
                for name, value in re.findall(r"^anvillead_(" + pattern + r") (\S+)$", text, re.M):
                    out[name] += float(value)
        return out

    def cpu_s(self, role):
        """Processor time of all processes of a role so far, in seconds."""
        fields = [pathlib.Path(f"/proc/{self.running[f'{role}-{i}'].pid}/stat").read_text().rsplit(")", 1)[1].split()
                  for i in range(HOSTS)]
        return sum(int(it[11]) + int(it[12]) for it in fields) / os.sysconf("SC_CLK_TCK")

    def dispatches(self):
        return sum(self.metrics("gateway", "grant_wait_ms_count").values())


def key(organisation):
    return f"scenario-key-{organisation}"


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


def print_report(title, fleet, reports, seconds):
    """One row for each load; `reports` are (label, report) pairs."""
    print(f"\n{title}")
    print("| load | requests | completed | refused | other outcomes | stall p50 ms | p95 | p99 | worst | gap p95 ms | "
          "gap p99 ms | useful tokens/s | attempts per request |")
    print("|" + "---|" * 13)
    generations = tokens = 0
    for label, report in reports:
        for workload, entry in report.items():
            if workload == "requests":
                continue
            counts, ms = entry["counts"], entry.get("ms", {})
            ends = {name[6:]: int(n) for name, n in counts.items() if name.startswith("ended ")}
            refused = sum(n for name, n in ends.items() if name.startswith("refused"))
            other = {name: n for name, n in ends.items() if not name.startswith("refused") and name != "completed"}
            unfinished = int(counts["requests"]) - sum(ends.values())
            if unfinished:
                other["unfinished at the end of the run"] = unfinished
            stalls = [it["stall_ms"] for it in report["requests"] if it["end"] == "completed"]
            gap = ms.get("gap", {})
            rate = counts.get("tokens_during_arrivals", 0) / seconds
            generations += ends.get("completed", 0)
            tokens += rate
            print(f"| {label} | {int(counts['requests'])} | {ends.get('completed', 0)} | {refused} | "
                  f"{json.dumps(other) if other else '-'} | "
                  + " | ".join(f"{quantile(stalls, share):.0f}" for share in (0.5, 0.95, 0.99, 1))
                  + f" | {gap.get('p95', 0):.0f} | {gap.get('p99', 0):.0f} | {rate:.0f} | "
                    f"{entry['attempts_per_request']:.3f} |")
            kinds = {name[9:]: int(n) for name, n in counts.items() if name.startswith("refusals ")}
            if kinds or counts.get("attempts_timed_out"):
                print(f"<!-- {label}: refusals by kind {kinds}, timed-out attempts "
                      f"{int(counts.get('attempts_timed_out', 0))} -->")
    preempted = fleet.preemptions()
    print(f"preemptions per 1,000 generations: {1000 * preempted / max(1, generations):.1f}; "
          f"useful tokens per second: {tokens:.0f}")
    print(f"schedulers' refusals so far {dict(fleet.metrics('scheduler', 'refusals_total[^ ]*'))}; gateways' retries and "
          f"failures so far {dict(fleet.metrics('gateway', '(?:retries|requests_failed)[^ ]*'))}")


def print_lost_and_duplicated(fleet, reports):
    """Prints how many requests had no final answer, had no end when the run stopped, and ran more than once."""
    starts = fleet.generation_starts()
    lost = sum(1 for _, report in reports for it in report["requests"] if it["end"] == "unanswered")
    duplicated = sum(1 for n in starts.values() if n > 1)
    planned = sum(int(entry["counts"]["requests"]) for _, report in reports for name, entry in report.items()
                  if name != "requests")
    missing = planned - sum(len(report["requests"]) for _, report in reports)
    print(f"unanswered: {lost}, without an end when the run stopped: {missing}, ran more than once: {duplicated}")


def takeover(fleet, seed, seconds):
    loads = [("checks", fleet.checks(seed, seconds)), ("drafts", fleet.drafts("drafts", seed + 1000, seconds, 0.7))]
    started = time.monotonic()
    time.sleep(seconds / 2)
    victim = fleet.owner()
    killed_ms = (time.monotonic() - started) * 1000
    fleet.kill(victim)
    reports = [(label, report()) for label, report in loads]
    print_report(f"takeover: {victim} killed at {killed_ms:.0f} ms", fleet, reports, seconds)
    print(f"the engines are now owned by {fleet.owner()}")
    print_lost_and_duplicated(fleet, reports)
    for label, report in reports:
        open_at_kill = [it for it in report["requests"] if it["first_token_ms"] >= 0
                        and it["at_ms"] + it["first_token_ms"] < killed_ms < it["at_ms"] + it["whole_ms"]]
        ended = collections.Counter(it["end"] for it in open_at_kill)
        print(f"{label}: {len(open_at_kill)} streams open at the kill, ended {dict(ended)}, worst stall "
              f"{max([it['stall_ms'] for it in open_at_kill], default=0):.0f} ms")
        for name, begin, end in (("before", -5000, -1000), ("0 to 1 s after", 0, 1000), ("1 to 2 s after", 1000, 2000),
                                 ("2 to 4 s after", 2000, 4000), ("from 4 s after", 4000, 60000)):
            new = [it for it in report["requests"] if begin <= it["at_ms"] - killed_ms < end]
            waits = [it["first_token_ms"] for it in new if it["first_token_ms"] >= 0]
            print(f"{label} that arrived {name}: {len(new)}, first token p50 {quantile(waits, 0.5):.0f} ms, worst "
                  f"{max(waits, default=0):.0f} ms, refused or lost {len(new) - len(waits)}")


def retry_storm(fleet, seed, seconds):
    outage_s = 6
    for mode in ("retry-after", "at-once"):
        before = fleet.dispatches()
        loads = [("checks", fleet.checks(seed, seconds, retry=mode, timeout="2")),
                 ("drafts", fleet.drafts("drafts", seed + 1000, seconds, 0.5, retry=mode, timeout="10"))]
        time.sleep(seconds / 3)
        victims = fleet.engines()
        lost_preemptions = fleet.preemptions()
        for it in victims:
            fleet.kill(it)
        time.sleep(outage_s)
        for it in victims:
            fleet.start_engine(it, fleet.addresses[it])
        restarted_ms = (seconds / 3 + outage_s) * 1000
        reports = [(label, report()) for label, report in loads]
        print_report(f"retry-storm, callers {mode}: all engines gone for {outage_s} s",
                     fleet, reports, seconds)
        print(f"preemptions of the engines before they were killed: {lost_preemptions}")
        dispatched = fleet.dispatches() - before
        requests = sum(len(report["requests"]) for _, report in reports)
        attempts = sum(it["attempts"] for _, report in reports for it in report["requests"])
        print(f"callers' attempts per request {attempts / requests:.3f}; dispatches to engines per request "
              f"{dispatched / requests:.3f}, per callers' attempt {dispatched / attempts:.3f}")
        missing = [it for _, report in reports for it in report["requests"] if it["end"] == "unanswered"]
        print(f"unanswered: {len(missing)}")
        for label, report in reports:
            for name, begin, end in (("before the fault", 2000, seconds * 1000 / 3 - 1000),
                                     ("0 to 5 s after its end", restarted_ms, restarted_ms + 5000),
                                     ("5 to 9 s after its end", restarted_ms + 5000, restarted_ms + 9000),
                                     ("from 9 s after its end", restarted_ms + 9000, 1e9)):
                part = [it for it in report["requests"] if begin <= it["at_ms"] < end]
                waits = [it["first_token_ms"] for it in part if it["first_token_ms"] >= 0]
                attempts = sum(it["attempts"] for it in part) / max(1, len(part))
                print(f"{label} that arrived {name}: {len(part)}, first token p50 {quantile(waits, 0.5):.0f} ms, p99 "
                      f"{quantile(waits, 0.99):.0f} ms, attempts per request {attempts:.3f}")


def stall_p99(report):
    return quantile([it["stall_ms"] for it in report["requests"] if it["end"] == "completed"], 0.99)


def drafts(fleet, seed, seconds):
    alone = fleet.checks(seed, seconds)()
    print_report("checks without drafts", fleet, [("checks", alone)], seconds)
    loads = [("drafts", fleet.drafts("drafts", seed + 1000, seconds, 1.3)), ("checks", fleet.checks(seed, seconds))]
    reports = [(label, report()) for label, report in loads]
    print_report("drafts at 1.3 times the engines", fleet, reports, seconds)
    print(f"urgent stall p99 / without drafts: {stall_p99(reports[1][1]) / stall_p99(alone):.2f}")


def flood(fleet, seed, seconds):
    alone = fleet.checks(seed, seconds)()
    print_report("checks without drafts", fleet, [("checks", alone)], seconds)
    # The last organisation floods. Admission fills the batches to about three quarters with these drafts, so the other
    # organisations request two thirds of that.
    flooding = len(fleet.deployment["weights"]) - 1
    others = list(enumerate(fleet.deployment["weights"]))[:flooding]
    waits = []
    for with_flood in (False, True):
        loads = [("drafts", fleet.drafts("drafts", seed + 1000, seconds, 0.5, others)),
                 ("checks", fleet.checks(seed, seconds))]
        if with_flood:
            loads.append(("flood", fleet.drafts("flood", seed + 2000, seconds, 1.0, [(flooding, 1)])))
        reports = [(label, report()) for label, report in loads]
        print_report("one organisation floods" if with_flood else "without the flood", fleet, reports, seconds)
        first = [it["first_token_ms"] for it in reports[0][1]["requests"] if it["first_token_ms"] >= 0]
        waits.append(sum(first) / max(1, len(first)))
        print(f"urgent stall p99 / without drafts: {stall_p99(reports[1][1]) / stall_p99(alone):.2f}")
    print(f"mean wait of the others' drafts: {waits[0]:.0f} ms without, {waits[1]:.0f} ms with the flood, ratio "
          f"{waits[1] / waits[0]:.2f}")


def cells(fleet, seed, seconds):
    """Runs checks and drafts on two cells, of which the second has slower engines."""
    loads = [("checks", fleet.checks(seed, seconds)),
             ("drafts", fleet.drafts("drafts", seed + 1000, seconds, fleet.draft_load))]
    reports = [(label, report()) for label, report in loads]
    owners = {name: re.findall(r"scheduler_takeover engines=(\d+)", log.read_text())[-1]
              for name, log in fleet.logs.items() if name.startswith("scheduler")}
    print(f"engines by scheduler: {({name: n for name, n in owners.items() if n != '0'})}")
    print_report(f"cells: {fleet.asked} of two schedulers asked", fleet, reports, seconds)
    print_lost_and_duplicated(fleet, reports)
    for label, report in reports:
        waits = [it["first_token_ms"] for it in report["requests"] if it["first_token_ms"] >= 0]
        refused = sum(n for name, n in next(v for k, v in report.items() if k != "requests")["counts"].items()
                      if name.startswith("refusals "))
        print(f"| {fleet.asked} | {label} | {len(report['requests'])} | "
              + " | ".join(f"{quantile(waits, share):.0f}" for share in (0.5, 0.95, 0.99)) + f" | {int(refused)} |")
    returned = fleet.metrics("gateway", "grants_returned_total")
    print(f"second grants returned: {int(sum(returned.values()))}; processor time since the start: schedulers "
          f"{fleet.cpu_s('scheduler'):.1f} s, gateways {fleet.cpu_s('gateway'):.1f} s")


SCENARIOS = {"takeover": takeover, "retry-storm": retry_storm, "drafts": drafts, "flood": flood, "cells": cells}
# Engines in the second of two cells run at a third of the normal speed.
SLOW_FACTOR = 3


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("scenario", choices=SCENARIOS)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="ceylon")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, help="length of the arrivals")
    parser.add_argument("--asked", type=int, choices=(1, 2), default=1,
                        help="cells: schedulers asked for a request, 1 by hash, 2 for late binding")
    parser.add_argument("--part", type=float, default=0.5,
                        help="cells: drafts as a part of what all engines would decode at full speed")
    options = parser.parse_args()
    options.seconds = options.seconds or (30 if options.scenario == "retry-storm" else 15)
    print(f"{options.scenario} on {options.deployment}, seed {options.seed}, {options.seconds} s, load average "
          f"{os.getloadavg()[0]:.1f}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    two_cells = options.scenario == "cells"
    with Fleet(options.deployment, two_cells, options.asked if two_cells else None, options.part) as fleet:
        SCENARIOS[options.scenario](fleet, options.seed, options.seconds)


if __name__ == "__main__":
    main()
