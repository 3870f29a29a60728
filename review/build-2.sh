#!/usr/bin/env bash
# Prepare the scripts of the second review. Their stand-ins are Python modules that need no build
# beyond the libraries which the build of deploy/system.toml puts below target/deps; this checks that
# those, the project's stand-ins and the review's own can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:src:testing:review/lib2 \
    python3 -c 'import platform_store, platform_upstream, fleet, store_path'
