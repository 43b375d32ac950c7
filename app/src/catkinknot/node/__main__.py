"""Start one instance on the users' platform with ``python -m catkinknot.node``."""

import sys

from ._node import run_node

if __name__ == "__main__":
    sys.exit(run_node())
