"""Records of one kind that can't be read, while the others of the kind are."""

from collections.abc import Mapping

from ._logs import ComponentLogger

#: Lines that are logged for one reading; the number of records is always logged.
MAX_LOGGED_RECORDS = 10

#: Maximum length of a key in logs and in the status: other writers choose it.
MAX_KEY_CHARACTERS = 200


class UnreadRecords:
    """The records that the last reading left out; each is logged once."""

    def __init__(self, log: ComponentLogger, message: str, field: str) -> None:
        """``message`` is logged for an unread record, with its key in ``field``."""
        self._log = log
        self._message = message
        self._field = field
        #: Errors by key.
        self.errors: Mapping[str, str] = {}

    def update(self, errors: Mapping[str, str]) -> None:
        """Replace the unread records; log those that are new, and those that ended."""
        before, self.errors = self.errors, dict(errors)
        new = [key for key in errors if before.get(key) != errors[key]]
        for key in new[:MAX_LOGGED_RECORDS]:
            self._log.problem(
                self._message,
                error=errors[key],
                unread_count=len(errors),
                **{self._field: key[:MAX_KEY_CHARACTERS]},
            )
        ended = [key for key in before if key not in errors]
        for key in ended[:MAX_LOGGED_RECORDS]:
            self._log.info(
                f"{self._message}: readable or gone",
                unread_count=len(errors),
                **{self._field: key[:MAX_KEY_CHARACTERS]},
            )

    def names(self, maximum: int) -> list[str]:
        """Return the keys of the first unread records."""
        return [key[:MAX_KEY_CHARACTERS] for key in list(self.errors)[:maximum]]
