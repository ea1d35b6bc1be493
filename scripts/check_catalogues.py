#!/usr/bin/env python3
"""Compares docs/errors.md, docs/log-events.md and the settings tables of docs/operators.md with the code, in both
directions, and checks that docs/operators.md names each field of the configuration folder. Exits 1 on a difference."""
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


def settings_in_code():
    """Maps each section of docs/operators.md to the fields that the read_*_settings functions read."""
    common = re.search(r"^common_settings read_common_settings.*?^}", read("src/apps/common/daemon.cpp"), re.M | re.S)
    sources = {"Common settings": common.group(0)}
    for path in sorted((ROOT / "src/apps").glob("*/*_settings.cpp")):
        section = f"anvillead-{path.parent.name}"
        sources[section] = sources.get(section, "") + path.read_text()
    reads = r'(?:reader\.(?!problem|path_of|has)\w+\(|read_\w+\(reader,)\s*"(\w+)"'
    return {section: set(re.findall(reads, text)) for section, text in sources.items()}


def settings_in_page():
    page = re.search(r"^## Settings$(.*?)^## ", read("docs/operators.md"), re.M | re.S).group(1)
    sections = re.split(r"^### ", page, flags=re.M)[1:]
    return {text.split("\n", 1)[0].strip(): set(re.findall(r"^\| `(\w+)` \|", text, re.M)) for text in sections}


def compare_settings():
    code, page = settings_in_code(), settings_in_page()
    ok = compare("settings sections", set(code), set(page))
    for section in sorted(set(code) & set(page)):
        ok = compare(f"settings of {section}", code[section], page[section]) and ok
    if not all(code.values()):
        print("a read_*_settings function without fields was found")
        ok = False
    return ok


def check_configuration_folder():
    """Checks that the section about the configuration folder names every field that the parser reads."""
    code = set(re.findall(r'(?:reader|limits)\.(?!problem|path_of|has)\w+\("(\w+)"',
                          read("src/configuration/internal/parse.cpp")))
    page = re.search(r"^## The configuration folder$(.*?)^## ", read("docs/operators.md"), re.M | re.S).group(1)
    missing = sorted(it for it in code if not re.search(rf'[`"]{it}[`"]', page))
    for item in missing:
        print(f"configuration folder: in the code but not in the page: {item}")
    return bool(code) and not missing


def main():
    errors_code = set(re.findall(r'\{k::\w+, "(\w+)", (\d+), o::(\w+), ', read("src/core/internal/error.cpp")))
    errors_page = set(re.findall(r"^\| `(\w+)` \| (\d+) \| `(\w+)` \|", read("docs/errors.md"), re.M))
    events_code = set(re.findall(r"^    (\w+) = (\d+),", read("src/core/log.h"), re.M))
    events_page = {(name, number) for number, name in
                   re.findall(r"^\| (\d+) \| `(\w+)` \|", read("docs/log-events.md"), re.M)}
    ok = compare("errors", errors_code, errors_page)
    ok = compare("log events", events_code, events_page) and ok
    ok = compare_settings() and ok
    ok = check_configuration_folder() and ok
    if not errors_code or not events_code:
        print("no entries found in the code")
        ok = False
    sys.exit(0 if ok else 1)


if __name__ == "__main__":
    main()
