#!/usr/bin/env bash
# A planned SIGTERM while a stream is open whose client reads slowly. TROUBLE=0: the same without the SIGTERM.
# The settings of the case are in case.py. Exit: 1 rule broken, 0 rule held, 2 could not run.
cd "$(dirname "$0")" && exec python3 -B case.py
