#!/usr/bin/env bash
# A stream route is split between two services, one of them without an `engine` table. Its engines answer without a
# length or chunks, and one stream is broken off inside an event. TROUBLE=0: no stream is broken off.
# Exit: 1 rule broken, 0 rule held, 2 could not run.
cd "$(dirname "$0")" && exec python3 -B case.py
