"""What absent, null and empty fields of a configuration grant."""

import json

import pytest

from galenashift.gateway._caller import CallerRequest
from galenashift.gateway._request import ActiveRequest, decode_fields, resolve_request
from galenashift.model import Reason
from galenashift.platform import RecordError, check_config, decode_config

_PUBLIC_PREFIX = "/public/"
_ROUTE = {
    "name": "r",
    "host": "h",
    "prefix": "/r/",
    "kind": "non_idempotent",
    "timeout_ms": 2000,
    "service": "pool",
}
_ABSENT = object()


def document(*, tenants=_ABSENT, route=None):
    data = {
        "version": 3,
        "routes": [
            _ROUTE | (route or {}),
            _ROUTE | {"prefix": _PUBLIC_PREFIX, "no_auth": True},
        ],
        "services": [{"name": "pool"}],
    }
    return data if tenants is _ABSENT else data | {"tenants": tenants}


def resolve(config, *, key, target="/r/x"):
    headers = [(b"host", b"h")]
    if key is not None:
        headers.append((b"x-api-key", key.encode()))
    request = CallerRequest(
        method="POST", target=target, headers=headers, body=b"", arrived_at_s=0.0
    )
    return resolve_request(
        request,
        decode_fields(request),
        config=config,
        pick_service=lambda weights: next(iter(weights)),
    )


def decode(data):
    return decode_config(json.dumps(data).encode())


def is_accepted(data, *, key, target="/r/x"):
    outcome = resolve(decode(data), key=key, target=target)
    if isinstance(outcome, ActiveRequest):
        return True
    assert outcome.reason is Reason.UNAUTHENTICATED
    return False


@pytest.mark.parametrize("key", ["k1", "", None])
@pytest.mark.parametrize(
    "tenants",
    [
        None,
        [],
        [{"name": "org"}],
        [{"name": "org", "api_keys": None}],
        [{"name": "org", "api_keys": []}],
        [{"name": "org", "api_keys": [""]}],
    ],
    ids=str,
)
def test_configuration_without_a_key_lets_nobody_in(tenants, key):
    # The removal of the last organisation opened every route to everyone.
    data = document(tenants=tenants)
    assert not is_accepted(data, key=key)
    assert is_accepted(data, key=key, target=_PUBLIC_PREFIX)
    assert decode(data).organisations_by_key is not None


@pytest.mark.parametrize("key", ["k1", "", None])
def test_configuration_that_never_mentions_organisations_needs_no_key(key):
    # A deployment without organisations must stay usable without keys.
    assert is_accepted(document(), key=key)


def test_only_the_listed_keys_are_accepted():
    # An unknown key must not be taken for a public request.
    data = document(tenants=[{"name": "org", "api_keys": ["k1"], "priority": None}])
    assert is_accepted(data, key="k1")
    assert not is_accepted(data, key="k2")
    assert not is_accepted(data, key=None)


@pytest.mark.parametrize("tenants", [{}, "", 0, False, {"org": {}}], ids=str)
def test_organisations_that_are_no_list_are_malformed(tenants):
    # An empty value of another type counted as a configuration without organisations.
    with pytest.raises(RecordError):
        decode(document(tenants=tenants))


@pytest.mark.parametrize("name", ["no_auth", "resumable", "sticky"])
@pytest.mark.parametrize("value", ["false", "no", 1, 0, [], {}], ids=str)
def test_flag_of_another_type_is_malformed(name, value):
    # The text "false" opened a route to everyone, or allowed repeated executions.
    with pytest.raises(RecordError):
        decode(document(route={name: value}))


@pytest.mark.parametrize("tenants", [_ABSENT, None, []], ids=["absent", "null", "[]"])
@pytest.mark.parametrize(
    "name",
    [
        "name",
        "goal_ms",
        "gap_target_ms",
        "priority",
        "max_attempts",
        "split",
        "stages",
        "no_auth",
        "sticky",
        "resumable",
    ],
)
def test_optional_field_of_a_route_that_is_null_means_the_same_as_absent(name, tenants):
    # A null priority kept the whole configuration out of force.
    plain = {key: value for key, value in _ROUTE.items() if key != name}
    absent = decode(document(tenants=tenants) | {"routes": [plain]})
    null = decode(document(tenants=tenants) | {"routes": [plain | {name: None}]})
    assert null == absent


@pytest.mark.parametrize(
    ("tenants", "detail"),
    [
        (None, "no API key is accepted"),
        ([], "no API key is accepted"),
        ([{"name": "org", "api_keys": [""]}], "an empty key is never accepted"),
    ],
    ids=str,
)
def test_check_warns_about_a_configuration_that_accepts_no_key(tenants, detail):
    # Such a configuration is sound and refuses everything, so operators must see it.
    findings = check_config(document(tenants=tenants))
    assert any(each.detail.startswith(detail) for each in findings)
