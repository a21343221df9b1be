#!/usr/bin/env bash
# Checks that the stand-ins of the cases 6 to 10 can be started. They are Python
# and need nothing but what the build of the deploy file has put into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 -c 'import standins.__main__, review.second_stage, review.second_caller'
