#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD/review/6" PYTHONDONTWRITEBYTECODE=1
exec python3 review/10/case.py
