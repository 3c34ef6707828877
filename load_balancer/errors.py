"""The errors of the product: one hierarchy, raised where the fault is known.

Each message is one line that names the field as it was written, so that an operator finds it in the
file or on the wire. Whoever raises one has changed no state yet.
"""

from __future__ import annotations


class LoadBalancerError(Exception):
    """Base of all errors that this package raises by itself."""


class WireError(LoadBalancerError):
    """A message or file from outside cannot be understood."""


class NotUtf8Error(WireError):
    """Bytes from outside are no text in UTF-8."""

    def __init__(self, error: UnicodeDecodeError) -> None:
        """Name the position of the first byte that cannot be decoded."""
        super().__init__(f"not UTF-8: {error.reason} at byte {error.start}")


class NotJsonError(WireError):
    """A text from outside is not JSON."""

    def __init__(self, error: ValueError | RecursionError) -> None:
        """Repeat what the JSON parser says."""
        super().__init__(f"not JSON: {error}")


class NotJsonObjectError(WireError):
    """A text from outside is JSON, but no object."""

    def __init__(self) -> None:
        """Word the message."""
        super().__init__("not a JSON object")


class FieldError(WireError):
    """One field of a message or file cannot be used.

    Attributes:
        field: The field's full name as it was written, such as `settings.lanes[0].worth`.
    """

    def __init__(self, field: str, message: str) -> None:
        """Keep the field's name beside the message, which names it too."""
        super().__init__(message)
        self.field = field


class MissingFieldError(FieldError):
    """A required field is absent or null."""

    def __init__(self, field: str) -> None:
        """Name the field that is missing."""
        super().__init__(field, f"missing required field {field}")


class InvalidFieldError(FieldError):
    """A field has a value of the wrong kind, or one that cannot be."""

    def __init__(self, field: str, problem: str) -> None:
        """Name the field; `problem` continues the sentence "field <name> ..."."""
        super().__init__(field, f"field {field} {problem}")


class ConfigError(LoadBalancerError):
    """The process configuration cannot be used; the message names the field."""


class UnsetVariableError(ConfigError):
    """An environment variable that the process needs is not set."""

    def __init__(self, variable: str) -> None:
        """Name the variable."""
        super().__init__(f"{variable} is not set")


class UnreadableConfigError(ConfigError):
    """The file cannot be read or holds no JSON: it may be in the middle of being written or replaced."""

    def __init__(self, variable: str, error: OSError | ValueError | RecursionError) -> None:
        """Name the environment variable that leads to the file, and repeat what went wrong."""
        super().__init__(f"{variable}: {error}")
