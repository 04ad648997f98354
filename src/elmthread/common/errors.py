"""The base class of all errors that the package defines."""


class ElmthreadError(Exception):
    """Base class of all errors of the package; subclasses name the failure and carry its values."""
