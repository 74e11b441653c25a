"""Clients of the platform's key-value service and instance list."""

from ._http import HttpAnswer, JsonHttpClient, NoAnswer
from ._instance_list import InstanceListClient, InstanceListing
from ._key_values import HttpKeyValueStore

__all__ = [
    "HttpAnswer",
    "HttpKeyValueStore",
    "InstanceListClient",
    "InstanceListing",
    "JsonHttpClient",
    "NoAnswer",
]
