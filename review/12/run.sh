#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps exec python3 review/12/removed.py
