"""Run the command line."""

from . import main

main()
