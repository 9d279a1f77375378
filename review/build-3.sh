#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. They are plain
# Python modules and use the packages that the build of the deploy file has installed.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps python3 -c 'import aiohttp' || exit 1
for case in review/1[1-5]; do
    python3 -m compileall -q "$case" || exit 1
done
