"""Base class of all rampwick exceptions, and the exceptions for invalid data."""


class RampwickError(Exception):
    """Base class of all exceptions that rampwick raises deliberately.

    ``step`` names the failed operation and ``peer`` the remote end or file, so that
    a log line locates the error without a traceback.
    """

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        context = f"{self.step} at {self.peer}" if self.peer else self.step
        return f"{context}: {self.message}"


class DataError(RampwickError):
    """External data violates the schema; the message has the key, value and rule."""


class SettingsError(DataError):
    """A settings file is unreadable or invalid."""


class MessageError(DataError):
    """A peer message is malformed or invalid."""
