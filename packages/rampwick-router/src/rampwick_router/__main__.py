"""Run the command as a module."""

import sys

from ._main import main

if __name__ == "__main__":
    sys.exit(main())
