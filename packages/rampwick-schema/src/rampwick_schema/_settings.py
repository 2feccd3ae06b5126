"""Reading the settings file of a rampwickd process."""

import tomllib
from collections.abc import Callable
from pathlib import Path

from ._convert import structure
from ._errors import DataError, SettingsError
from ._filled_values import take_filled
from ._generated_settings import Settings

#: What the error of a bad settings file says was being done.
STEP = "read settings"


def _ignore(problem: str) -> None:
    return


def read_settings(
    path: Path, note_problem: Callable[[str], None] = _ignore
) -> Settings:
    """Return the settings of a TOML file, or raise a SettingsError of one line.

    ``note_problem`` hears of filled-in figures that could not be taken as they are.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(error), step=STEP, peer=str(path)) from None
    return parse_settings(text, source=str(path), note_problem=note_problem)


def parse_settings(
    text: str, *, source: str, note_problem: Callable[[str], None] = _ignore
) -> Settings:
    """Return the settings written in ``text``; ``source`` names it in errors."""
    try:
        data = take_filled(tomllib.loads(text), Settings, note_problem)
        return structure(data, Settings, step=STEP, peer=source)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(str(error), step=STEP, peer=source) from None
    except DataError as error:
        raise SettingsError(error.message, step=STEP, peer=source) from None
