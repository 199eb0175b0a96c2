#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are in Python, so they are only compiled to bytecode.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 -m compileall -q review tests/harness/templates.py
