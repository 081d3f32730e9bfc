#!/bin/sh
# Builds what the scripts of cases 4 to 8 start, after the build of the deploy file. All of it is
# Python: the stand-ins of the project and of review/rig2.py are compiled, and import their libraries.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps/aiohttp ] || { echo "the build of deploy/system.toml comes first" >&2; exit 2; }
PYTHONPATH=target/deps:src:platform:review PYTHONDONTWRITEBYTECODE=1 python3 -c 'import rig2'
