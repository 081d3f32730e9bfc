#!/bin/sh
# Runs the case of one folder: `run_case.sh FOLDER`. Exit status: 0 the rule held, 1 it was broken,
# 2 the case could not run. TROUBLE=0 leaves the disruption out.
case_folder=$(cd "$1" && pwd) || exit 2
cd "$case_folder/../.." || exit 2
if [ -d target/deps ]; then
    python=python3
    dependencies="$PWD/target/deps"
elif [ -x .venv/bin/python ]; then
    python="$PWD/.venv/bin/python"
    dependencies=
else
    echo "build first: the build line of deploy/system.toml" >&2
    exit 2
fi
export REVIEW_DEPENDENCIES="$dependencies"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$dependencies:$PWD/review:$PWD/platform:$PWD/src" \
    timeout -k 5 115 "$python" "$case_folder/case.py"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
