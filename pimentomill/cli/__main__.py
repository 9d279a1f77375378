"""Run the command-line interface."""

from . import main

main()
