#!/bin/sh
# Checks and compiles the stand-ins of the second review, which are Python programs.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile harness2.py replica2.py
