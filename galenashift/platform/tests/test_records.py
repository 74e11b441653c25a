"""Decoding of records of the platform's store."""

import json

import pytest

from galenashift.model import FailureDomainName, InstanceState, RequestKind
from galenashift.platform import (
    Address,
    PeerAddress,
    RecordError,
    decode_config,
    decode_daemon,
    decode_upstream,
    encode_daemon,
)

_ROUTE = {
    "name": "r1",
    "host": "Shop.Example",
    "prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 8000,
    "goal_ms": 1600,
    "priority": 0,
    "service": "pool",
    "max_attempts": 2,
    "stages": [{"service": "stage", "after": [], "bytes": 8000}],
    "sticky": True,
    "resumable": True,
    "gap_target_ms": 400,
}
_CONFIG = {
    "version": 7,
    "routes": [_ROUTE],
    "services": [
        {
            "name": "stage",
            "health_path": "/healthz",
            "max_conns": 620,
            "cold_s": 3.0,
            "cold_per_s": 12.0,
            "pieces": {
                "slots": 1,
                "queue": 2,
                "batch": 4,
                "call_ms": 150.0,
                "item_ms": 32.0,
                "headroom_mb": 19.5,
                "handle_s": 4.0,
                "link_mbps": 10000,
            },
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "org", "api_keys": ["k1", "k2"], "priority": 1}],
}


def config(**changes):
    return decode_config(json.dumps(_CONFIG | changes).encode())


def test_route_is_decoded_with_units_and_kinds():
    # Milliseconds taken for seconds would make every time limit wrong.
    route = config().find_route(host="shop.example:80", path="/a/b?x=/c/")
    assert route.kind is RequestKind.STREAM
    assert (route.timeout_s, route.latency_goal_s, route.event_gap_goal_s) == (
        8.0,
        1.6,
        0.4,
    )
    assert (route.rank, route.max_attempts) == (0, 2)
    assert route.repeatable
    assert route.stages[0].result_bytes == 8000


def test_longest_matching_prefix_wins():
    # A request for the inner route must not match the outer one, whose prefix is
    # shorter.
    inner = _ROUTE | {"name": "r2", "prefix": "/a/b/"}
    decoded = config(routes=[_ROUTE, inner])
    assert decoded.find_route(host="shop.example", path="/a/b/c").name == "r2"
    assert decoded.find_route(host="shop.example", path="/a/bc").name == "r1"
    assert decoded.find_route(host="shop.example", path="/b/") is None
    assert decoded.find_route(host="other.example", path="/a/") is None


def test_service_limits_are_in_seconds_and_bytes():
    # A wrong unit would overload the stage upstreams or leave them idle.
    (service,) = config().services_by_name.values()
    assert service.cold_rate_per_s == 12.0
    assert service.pieces.call_overhead_s == pytest.approx(0.15)
    assert service.pieces.piece_duration_s == pytest.approx(0.032)
    assert service.pieces.result_bytes == 19_500_000
    assert service.pieces.result_lifetime_s == 4.0


def test_each_api_key_maps_to_its_organisation():
    # An organisation may have several keys; without tenants no key is needed.
    organisations = config().organisations_by_key
    assert organisations["k2"].organisation_id == "org"
    assert config(tenants=None).organisations_by_key == {}
    without = {name: value for name, value in _CONFIG.items() if name != "tenants"}
    assert decode_config(json.dumps(without).encode()).organisations_by_key is None


def test_split_route_has_weights():
    # A split route has no field "service".
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    route = _ROUTE | {"split": split}
    del route["service"]
    decoded = config(routes=[route]).find_route(host="shop.example", path="/a/")
    assert decoded.weight_by_service == {"a": 90.0, "b": 10.0}


def test_silence_timeout_of_streams():
    # The timeout is the longest of a minimum, four latency targets and eight gaps.
    route = config().find_route(host="shop.example", path="/a/")
    assert route.silence_timeout_s == pytest.approx(6.4)
    faster = config(routes=[_ROUTE | {"goal_ms": 100, "gap_target_ms": 100}])
    assert faster.find_route(host="shop.example", path="/a/").silence_timeout_s == 2.0


@pytest.mark.parametrize(
    "value",
    [b"", b"\xff", b"[]", b"{}", b'{"version": 1, "routes": [{}], "services": []}'],
)
def test_malformed_configuration_is_rejected(value):
    # The store watch handles no other exception than RecordError.
    with pytest.raises(RecordError):
        decode_config(value)


def test_registration_of_an_upstream_is_decoded():
    # Unknown fields are ignored: the platform may add some.
    record = {
        "service": "pool",
        "address": "10.128.0.9:8080",
        "zone": "z1",
        "slots": 128,
        "state": "draining",
        "cold_left_ms": 1500,
        "seq": 4,
        "later": {"field": 1},
    }
    upstream = decode_upstream(key="servers/i-1", value=json.dumps(record).encode())
    assert upstream.upstream_id == "i-1"
    assert (upstream.host, upstream.port) == ("10.128.0.9", 8080)
    assert upstream.state is InstanceState.DRAINING
    assert upstream.cold_left_s == 1.5


@pytest.mark.parametrize("domain", [None, FailureDomainName("a")])
def test_registration_of_a_daemon_round_trips(domain):
    # Daemons that cannot read each other's registrations cannot share work.
    address = Address(host="10.0.0.1", port=7740)
    peer = PeerAddress(address=address, capacity=1.5, failure_domain=domain)
    value = encode_daemon(peer)
    assert (b"zone" in value) == (domain is not None)
    assert decode_daemon(key="daemons/d1", value=value) == ("d1", peer)
    with pytest.raises(RecordError):
        decode_daemon(key="daemons/d1", value=b"{}")


@pytest.mark.parametrize(
    ("engine", "token_memory"),
    [
        (None, None),
        ({"slots": 4}, None),
        ({"kv_tokens": None}, None),
        ({"kv_tokens": 0}, None),
        ({"kv_tokens": 538_495}, 538_495),
    ],
)
def test_token_memory_is_decoded_if_present(engine, token_memory):
    # Most deployments do not configure it, and must be served all the same.
    services = [{"name": "pool"} | ({} if engine is None else {"engine": engine})]
    value = json.dumps(_CONFIG | {"routes": [], "services": services}).encode()
    service = decode_config(value).services_by_name["pool"]
    assert service.token_memory == token_memory


@pytest.mark.parametrize("value", [-1, "many", 1e300])
def test_malformed_token_memory_is_rejected(value):
    # A memory below that of a request would refuse all requests.
    services = [{"name": "pool", "engine": {"kv_tokens": value}}]
    value = json.dumps(_CONFIG | {"routes": [], "services": services}).encode()
    with pytest.raises(RecordError):
        decode_config(value)
