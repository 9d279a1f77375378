"""Entry point of the fault soak."""

import sys

from ._soak import main

if __name__ == "__main__":
    sys.exit(main())
