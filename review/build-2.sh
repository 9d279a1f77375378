#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be compiled. They are plain Python and
# need nothing beside the packages that the build of the deploy file places.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps" python3 -c "import aiohttp"
for folder in review/[6-9] review/10; do
  for source in "$folder"/*.py; do
    [ -e "$source" ] || continue
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$source"
  done
done
