"""The rampwickd daemon."""

from ._daemon import (
    Addresses as Addresses,
    Clocks as Clocks,
    Daemon as Daemon,
    run_daemon as run_daemon,
)
from ._main import main as main
