"""Reader of the settings file of a rampwickd process."""

import tomllib
from collections.abc import Callable
from pathlib import Path

from ._convert import structure
from ._errors import DataError, SettingsError
from ._filled_values import merge_filled_values
from ._generated_settings import Settings

#: Step of the errors of an invalid settings file.
STEP = "read settings"


def _ignore(problem: str) -> None:
    return


def read_settings(path: Path, on_problem: Callable[[str], None] = _ignore) -> Settings:
    """Return the settings in a TOML file, or raise SettingsError with one line.

    ``on_problem`` is called with a message for each filled-in value that is invalid or
    out of range.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(error), step=STEP, peer=str(path)) from None
    return parse_settings(text, source=str(path), on_problem=on_problem)


def parse_settings(
    text: str, *, source: str, on_problem: Callable[[str], None] = _ignore
) -> Settings:
    """Return the settings in ``text``; ``source`` is its name in error messages."""
    try:
        data = merge_filled_values(tomllib.loads(text), Settings, on_problem)
        return structure(data, Settings, step=STEP, peer=source)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(str(error), step=STEP, peer=source) from None
    except DataError as error:
        raise SettingsError(error.message, step=STEP, peer=source) from None
