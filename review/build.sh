#!/usr/bin/env bash
# Builds what the scripts start: the stand-ins are Python and only need to compile and to be found.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps
python3 -m compileall -q review stand_ins src deploy
python3 -c "import twisted, h11, msgspec, stand_ins.http, stand_ins.reactor"
