"""The rampwick command."""

from ._main import main as main
