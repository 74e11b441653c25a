"""Listening sockets whose shutdown does not cut connections of callers."""

from ._draining import DrainingListener, StreamHandler

__all__ = ["DrainingListener", "StreamHandler"]
