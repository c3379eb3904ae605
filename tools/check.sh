#!/bin/bash
# The project's full check: builds the program as the deploy file says, runs it on hand-written frames, and then runs
# all tests under the sanitizers. Seeds are fixed, ports are ephemeral, and no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."

build=$(sed -n 's/^build = "\(.*\)".*/\1/p' deploy/balancer.toml)
sim=$(sed -n 's/^sim = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
sh -c "$build" >/dev/null
python3 tests/deploy_frames.py "$sim"
python3 tests/deploy_run.py "$run"
python3 tests/deploy_platform.py "$run"
cmake --preset test
cmake --build --preset test
python3 tools/lint.py . build-test
python3 tools/run_tests.py . ctest --preset test
