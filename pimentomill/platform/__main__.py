"""Command-line entry point of the process that runs on the platform."""

import sys

from ._daemon import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
