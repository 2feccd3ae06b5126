"""Entry point of ``python -m rampwick_cli``."""

import sys

from ._main import main

if __name__ == "__main__":
    sys.exit(main())
