"""Run the command line with ``python -m catkinknot.app``."""

from ._cli import main

if __name__ == "__main__":
    main()
