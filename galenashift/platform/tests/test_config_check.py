"""Agreement of the check of configurations with their decoder."""

import copy
import json

import pytest

from galenashift.platform import (
    FindingKind,
    RecordError,
    check_config,
    decode_config,
)

SOUND = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "prefix": "/r/",
            "kind": "streaming",
            "timeout_ms": 2000,
            "goal_ms": 400,
            "gap_target_ms": 100,
            "priority": 1,
            "max_attempts": 2,
            "no_auth": False,
            "sticky": True,
            "resumable": True,
            "split": [{"service": "pool", "weight": 1}],
            "stages": [
                {"service": "stage", "bytes": 8000, "after": []},
                {"service": "stage", "bytes": 8000, "after": [0]},
            ],
        }
    ],
    "services": [
        {
            "name": "pool",
            "cold_s": 5,
            "cold_per_s": 2.5,
            "max_conns": 100,
            "engine": {"slots": 4, "kv_tokens": 90_000},
        },
        {
            "name": "stage",
            "pieces": {
                "batch": 4,
                "call_ms": 150,
                "item_ms": 32,
                "headroom_mb": 19.5,
                "handle_s": 4,
            },
        },
    ],
    "tenants": [{"name": "org", "api_keys": ["key"], "priority": 1}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}
VALUES = [None, 0, -1, 1, 1.5, 1e300, True, "", "x", " x", "a\nb", [], [1], {}, "none"]


def paths_of(value, path=()):
    if path:
        yield path
    entries = value.items() if isinstance(value, dict) else ()
    entries = enumerate(value) if isinstance(value, list) else entries
    for key, each in entries:
        yield from paths_of(each, (*path, key))


def changed(path, value=None, *, remove=False):
    data = copy.deepcopy(SOUND)
    parent = data
    for key in path[:-1]:
        parent = parent[key]
    if remove:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return data


def is_accepted(data):
    try:
        decode_config(json.dumps(data).encode())
    except RecordError:
        return False
    return True


@pytest.mark.parametrize("path", list(paths_of(SOUND)), ids=str)
def test_check_rejects_what_daemons_reject(path):
    # A file that passes the check must not be rejected by daemons, and one whose fields
    # are called malformed must not be adopted, except for a text or a mapping in place
    # of a list, which daemons take apart.
    assert check_config(SOUND) == []
    documents = [changed(path, value) for value in VALUES]
    documents.append(changed(path, remove=True))
    for data in documents:
        malformed = [
            each.detail
            for each in check_config(data)
            if each.kind in {FindingKind.INVALID, FindingKind.MISSING}
            and "no pieces" not in each.detail
        ]
        if is_accepted(data):
            assert set(malformed) <= {"is not a list", "is not a mapping"}, data
        else:
            assert malformed, data


@pytest.mark.parametrize("data", [None, [], "x", 3, {}, {"routes": {}}])
def test_document_of_another_kind_is_reported(data):
    # Any file can be given to the command.
    assert check_config(data)


def chain(length):
    after = [[], *([number] for number in range(length - 1))]
    stages = [{"service": "stage", "bytes": 8, "after": each} for each in after]
    return changed(("routes", 0, "stages"), stages)


def test_long_chain_of_stages_is_decoded_in_linear_steps(count_steps):
    # Each step compared all stages: a record of 1 MB kept a daemon busy for minutes.
    short, long = (json.dumps(chain(length)).encode() for length in (200, 400))
    assert count_steps(decode_config, long) < 2.1 * count_steps(decode_config, short)
