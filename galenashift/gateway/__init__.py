"""Serves callers on the users' platform: routes, stages and upstreams."""

from ._app import GatewayDaemon, run_daemon

__all__ = ["GatewayDaemon", "run_daemon"]
