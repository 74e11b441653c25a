"""Stand-ins (test doubles) of the platform services and of upstreams.

They are not part of the shipped package.
"""
