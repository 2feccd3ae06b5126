"""Reading the settings file of a rampwickd process."""

import tomllib
from pathlib import Path

from ._convert import structure
from ._errors import DataError, SettingsError
from ._generated_settings import Settings

#: What the error of a bad settings file says was being done.
STEP = "read settings"


def read_settings(path: Path) -> Settings:
    """Return the settings of a TOML file, or raise a SettingsError of one line."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(error), step=STEP, peer=str(path)) from None
    return parse_settings(text, source=str(path))


def parse_settings(text: str, *, source: str) -> Settings:
    """Return the settings written in ``text``; ``source`` names it in errors."""
    try:
        data = tomllib.loads(text)
        return structure(data, Settings, step=STEP, peer=source)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(str(error), step=STEP, peer=source) from None
    except DataError as error:
        raise SettingsError(error.message, step=STEP, peer=source) from None
