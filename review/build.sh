#!/usr/bin/env bash
# The stand-ins need no build: they are Python, standard library only.
cd "$(dirname "$0")" && exec python3 -m py_compile stage.py */check.py
