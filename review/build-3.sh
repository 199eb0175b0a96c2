#!/usr/bin/env bash
# Builds the stand-ins of this review's scripts: Python with the standard library only, so they are just compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/1[1-5] tests/harness/templates.py
