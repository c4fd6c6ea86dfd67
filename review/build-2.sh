#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, after the build of the deploy
# file. They are Python modules without further dependencies, so that compiling them is all.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -m compileall -q stand_ins review/harness2
PYTHONPATH="target/deps:." python3 -c "import stand_ins.platform_engine, stand_ins.platform_store"
PYTHONPATH="target/deps:." python3 -c "import review.harness2.rig, review.harness2.trouble_engine"
