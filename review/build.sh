#!/bin/sh
# Checks that the stand-ins compile; they need nothing but the deploy build.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 - review/kit/*.py review/[1-5]/*.py <<'PY'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
PY
