#!/usr/bin/env python3
"""Compares docs/errors.md and docs/log-events.md with the code, in both directions. Exits 1 on a difference."""
import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def read(path):
    return (ROOT / path).read_text()


def compare(title, code, page):
    for item in sorted(code - page):
        print(f"{title}: in the code but not in the page: {item}")
    for item in sorted(page - code):
        print(f"{title}: in the page but not in the code: {item}")
    return code == page


def main():
    errors_code = set(re.findall(r'\{k::\w+, "(\w+)", (\d+), o::(\w+), ', read("src/core/internal/error.cpp")))
    errors_page = set(re.findall(r"^\| `(\w+)` \| (\d+) \| `(\w+)` \|", read("docs/errors.md"), re.M))
    events_code = set(re.findall(r"^    (\w+) = (\d+),", read("src/core/log.h"), re.M))
    events_page = {(name, number) for number, name in
                   re.findall(r"^\| (\d+) \| `(\w+)` \|", read("docs/log-events.md"), re.M)}
    good = compare("errors", errors_code, errors_page)
    good = compare("log events", events_code, events_page) and good
    if not errors_code or not events_code:
        print("no entries found in the code")
        good = False
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
