#!/bin/bash
# Installs the third-party client in FOLDER and runs the check against PROGRAM: run.sh FOLDER PROGRAM
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$1"
cd "$1"
if ! cmp -s "$here/package-lock.json" package-lock.json || [ ! -d node_modules ]; then
  cp "$here/package.json" "$here/package-lock.json" .
  npm ci --no-audit --no-fund --ignore-scripts --silent
fi
cp "$here/check.js" .
exec node check.js "$2"
