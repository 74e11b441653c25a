"""Connects the components of a daemon and runs it."""

from ._run import EXIT_FAILED, EXIT_OK, run_daemon

__all__ = ["EXIT_FAILED", "EXIT_OK", "run_daemon"]
