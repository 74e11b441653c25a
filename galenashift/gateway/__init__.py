"""Gateway daemon: accepts requests of callers and forwards them to upstreams."""

from ._app import GatewayDaemon, run_daemon

__all__ = ["GatewayDaemon", "run_daemon"]
