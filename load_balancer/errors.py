"""The base classes of this package's exceptions, and those for invalid JSON, fields and configuration.

Each message is one line. It names an invalid field as written in the file or on the wire, so that an operator
can find it there. A file, endpoint list or event is decoded before it is applied, so that an invalid one
changes no state.
"""

from __future__ import annotations


class LoadBalancerError(Exception):
    """Base class of the exceptions of this package, except `messages.ImpossibleValueError`."""


class WireError(LoadBalancerError):
    """A message or file from outside the process is malformed."""


class NotUtf8Error(WireError):
    """Input is not valid UTF-8."""

    def __init__(self, error: UnicodeDecodeError) -> None:
        """Build the message from the decoder's reason and the position of the first invalid byte."""
        super().__init__(f"not UTF-8: {error.reason} at byte {error.start}")


class NotJsonError(WireError):
    """Input is not valid JSON."""

    def __init__(self, error: ValueError | RecursionError) -> None:
        """Build the message from the JSON parser's error."""
        super().__init__(f"not JSON: {error}")


class NotJsonObjectError(WireError):
    """Input is valid JSON, but not an object."""

    def __init__(self) -> None:
        """Initialize with a fixed message."""
        super().__init__("not a JSON object")


class FieldError(WireError):
    """A field of a message or file is missing or invalid.

    Attributes:
        field: The full path of the field as written, such as `settings.lanes[0].worth`.
    """

    def __init__(self, field: str, message: str) -> None:
        """Initialize the error.

        Args:
            field: The full path of the field.
            message: The error message, which contains `field`.
        """
        super().__init__(message)
        self.field = field


class MissingFieldError(FieldError):
    """A required field is absent or null."""

    def __init__(self, field: str) -> None:
        """Build the message from the path of the missing field."""
        super().__init__(field, f"missing required field {field}")


class InvalidFieldError(FieldError):
    """A field has a value of the wrong type, or one that is not allowed."""

    def __init__(self, field: str, problem: str) -> None:
        """Initialize the error.

        Args:
            field: The full path of the field.
            problem: The predicate of the message "field <field> <problem>".
        """
        super().__init__(field, f"field {field} {problem}")


class ConfigError(LoadBalancerError):
    """The process configuration is invalid; the message names the field or the environment variable."""


class UnsetVariableError(ConfigError):
    """A required environment variable is not set."""

    def __init__(self, variable: str) -> None:
        """Build the message from the name of the variable."""
        super().__init__(f"{variable} is not set")


class UnreadableConfigError(ConfigError):
    """The configuration file cannot be read or is not JSON.

    The file may be in the middle of being written or replaced, so that a later read succeeds.
    """

    def __init__(self, variable: str, error: OSError | ValueError | RecursionError) -> None:
        """Initialize the error.

        Args:
            variable: The environment variable that holds the path of the file.
            error: The reason why reading or parsing the file failed.
        """
        super().__init__(f"cannot read the configuration file of {variable}: {error}")
