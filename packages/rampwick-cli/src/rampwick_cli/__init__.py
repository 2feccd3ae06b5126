"""Command-line client of rampwick."""

from ._main import main as main
