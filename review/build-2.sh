#!/bin/sh
# Checks that the stand-ins of cases 6 to 10 can be imported and compiled; they
# need nothing but the deploy build and the folders tests/ and tools/.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1 python3 - review/kit-2/*.py review/[6-9]/*.py review/10/*.py <<'PY'
import importlib
import sys

for name in ("tests.wire.standins", "tests.wire.cuts"):
    importlib.import_module(name)
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
PY
