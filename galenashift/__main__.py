"""Runs the command-line interface with ``python -m galenashift``."""

from galenashift.cli import main

if __name__ == "__main__":
    main()
