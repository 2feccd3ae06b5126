"""The root of rampwick's exception tree and the errors of reading data."""


class RampwickError(Exception):
    """Base of every error that rampwick raises on purpose.

    ``step`` says what was being done and ``peer`` with whom, so that a log line
    shows where an error arose without a traceback.
    """

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f"{self.step} at {self.peer}" if self.peer else self.step
        return f"{where}: {self.message}"


class DataError(RampwickError):
    """Data from outside breaks the schema; the text names key, value and rule."""


class SettingsError(DataError):
    """A settings file can't be used."""


class MessageError(DataError):
    """A message from a peer can't be used."""
