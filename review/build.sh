#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are Python modules that need only the
# standard library, so nothing has to be built.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/common/*.py review/[1-9]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
