"""The command-line interface."""

from ._commands import main

__all__ = ["main"]
