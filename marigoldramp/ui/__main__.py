"""Run the command line by ``python -m marigoldramp.ui``."""

from . import main

main()
