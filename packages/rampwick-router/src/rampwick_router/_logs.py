"""Logs: short sentences, each part with its fixed prefix, written by eliot."""

from typing import Any

import eliot


class PartLogger:
    """Logger of one part of the daemon.

    Call ``info`` for what operators may want to follow and ``problem`` for what
    they should look at. Fields go beside the sentence, never into it.
    """

    def __init__(self, part: str) -> None:
        self._part = part

    def info(self, sentence: str, **fields: Any) -> None:
        """Log something that went as it should."""
        self._write("info", sentence, fields)

    def problem(self, sentence: str, **fields: Any) -> None:
        """Log something that did not go as it should."""
        self._write("problem", sentence, fields)

    def _write(self, level: str, sentence: str, fields: dict[str, Any]) -> None:
        eliot.log_message(
            message_type=f"rampwick:{self._part}",
            level=level,
            message=f"{self._part}: {sentence}",
            **fields,
        )
