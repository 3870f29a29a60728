#!/usr/bin/env bash
# Check that all stand-ins of the cases can be compiled and imported. Needs the build of
# deploy/system.toml, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:src:testing:review/lib PYTHONDONTWRITEBYTECODE=1
python3 - <<'PY'
import ast
from pathlib import Path

import platform_store
import platform_upstream
import small_fleet

for path in sorted(Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PY
echo "stand-ins are ready"
