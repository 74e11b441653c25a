"""Runs one daemon: ``python -m galenashift.gateway``."""

from galenashift.gateway import run_daemon

if __name__ == "__main__":
    run_daemon()
