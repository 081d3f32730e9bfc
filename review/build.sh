#!/bin/sh
# The stand-ins of the cases are Python files that need no build of their own. This only builds the
# programs with the deploy file's own line, where that has not been done.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || python3 -m pip install -q --no-deps -U --target target/deps -r deploy/requirements.lock
