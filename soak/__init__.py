"""Randomized fault soak: real daemons, stand-ins of the platform, checked promises."""
