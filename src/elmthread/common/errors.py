"""The base of all errors that the package defines."""


class ElmthreadError(Exception):
    """Base of all errors of the package; subclasses name the fault and carry its values."""
