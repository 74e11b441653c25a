"""The view of the store after changes, outages and unreadable records."""

import json

import pytest

from galenashift.gateway._upstream_registry import LAPSE_GRACE_S
from galenashift.gateway._view import PlatformView
from galenashift.model import FailureDomainName, ServiceName, UpstreamId
from galenashift.platform import Deletion, Item, Snapshot, StoreRevision

_POOL = ServiceName("pool")


def upstream_item(name, **changes):
    record = {
        "service": "pool",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
    }
    return item(f"servers/{name}", record | changes)


def item(key, record, revision=1):
    value = record if isinstance(record, bytes) else json.dumps(record).encode()
    return Item(key=key, value=value, revision=StoreRevision(revision))


def config_item(version):
    return item("op/config", {"version": version, "routes": [], "services": []})


def gone(key):
    return Deletion(key=key, revision=StoreRevision(2))


def new_view(*items, now_s=0.0):
    reports = []
    view = PlatformView(report=lambda name, fields: reports.append(name))
    snapshot = Snapshot(items=tuple(items), revision=StoreRevision(1))
    view.apply_snapshot(snapshot, now_s=now_s)
    view.reports = reports
    return view


def ids(view, now_s=0.0):
    return [
        each.registration.upstream_id
        for each in view.available_upstreams(_POOL, now_s=now_s)
    ]


@pytest.mark.parametrize("value", [b"{", b"[" * 200_000, b'{"version": 1e999}'])
def test_malformed_configuration_leaves_the_last_one_in_force(value):
    # All daemons read the same record, so an exception would end the whole fleet.
    view = new_view(config_item(7))
    view.apply(item("op/config", value), now_s=0.0)
    assert view.config.version == 7
    assert view.reports[-1] == "config-rejected"


def test_malformed_registration_does_not_affect_the_others():
    view = new_view(upstream_item("a"), upstream_item("b"))
    for name in ("a", "c"):
        value = json.dumps({"slots": "RAW"}).replace('"RAW"', "1e999").encode()
        view.apply(item(f"servers/{name}", value), now_s=0.0)
    assert ids(view) == ["b"]


def test_older_configuration_is_ignored():
    # A listing that is older than a change must not revert it.
    view = new_view(config_item(7))
    view.apply(config_item(5), now_s=0.0)
    assert view.config.version == 7


def test_draining_upstream_gets_no_requests():
    # A draining upstream may exit before it has answered a further request.
    view = new_view(upstream_item("u1"), upstream_item("u2"))
    registration = view.find(UpstreamId("u1")).registration
    view.apply(upstream_item("u1", state="draining"), now_s=1.0)
    assert ids(view) == ["u2"]
    assert not view.accepts_requests(registration, now_s=1.0)


def test_evacuated_domain_gets_no_requests_until_it_is_restored():
    # Operators evacuate a failure domain before they do maintenance on it.
    view = new_view(upstream_item("u1"), upstream_item("u2", zone="b"))
    view.apply(item("op/evacuate/a", {}), now_s=0.0)
    assert ids(view) == ["u2"]
    view.apply(gone("op/evacuate/a"), now_s=0.0)
    assert ids(view) == ["u1", "u2"]


def test_evacuation_missing_from_a_snapshot_ends():
    # The deletion may be missing from the history that the store still has.
    view = new_view(upstream_item("u1"), item("op/evacuate/a", {}))
    snapshot = Snapshot(items=(upstream_item("u1"),), revision=StoreRevision(9))
    view.apply_snapshot(snapshot, now_s=1.0)
    assert ids(view) == ["u1"]
    assert view.evacuated == set()


@pytest.mark.parametrize(
    "broken",
    [
        item("servers/u1", b"\xff\x00"),
        item("servers/u1", b"[]"),
        item("servers/u1", {"service": "pool"}),
        upstream_item("u1", state="resting"),
        upstream_item("u1", slots="4"),
        upstream_item("u1", slots=True),
        upstream_item("u1", address="nowhere"),
        upstream_item("u1", zone=None),
    ],
)
def test_unreadable_registration_removes_only_its_upstream(broken):
    # An invalid record must not affect other upstreams, and the upstream's previous
    # record must not stay in use.
    view = new_view(upstream_item("u1"), upstream_item("u2"))
    view.apply(broken, now_s=0.0)
    assert ids(view) == ["u2"]
    assert "record-unreadable" in view.reports


def test_upstream_of_an_unknown_service_causes_no_error():
    # Registrations can arrive before the configuration that contains their service.
    view = new_view(upstream_item("u1", service="other"))
    assert ids(view) == []


def test_removed_upstream_is_forgotten_at_once():
    # The upstream has exited or crashed, so requests to it would fail.
    view = new_view(upstream_item("u1"))
    view.apply(gone("servers/u1"), now_s=1.0)
    assert ids(view) == []


def test_registration_that_lapsed_in_an_outage_is_used_for_a_grace_period():
    # After an outage of the store that is longer than the lifetime of registrations,
    # all of them expire at once, and the daemon would have no upstreams left.
    view = new_view(upstream_item("u1"))
    view.begin_lapse_grace(now_s=10.0)
    view.apply(gone("servers/u1"), now_s=10.0)
    assert ids(view, now_s=10.0 + LAPSE_GRACE_S - 0.01) == ["u1"]
    assert ids(view, now_s=10.0 + LAPSE_GRACE_S) == []


def test_registration_that_returns_after_an_outage_stays():
    view = new_view(upstream_item("u1"))
    view.begin_lapse_grace(now_s=10.0)
    view.apply(gone("servers/u1"), now_s=10.0)
    view.apply(upstream_item("u1"), now_s=10.5)
    assert ids(view, now_s=20.0) == ["u1"]


def test_draining_upstream_that_lapses_in_an_outage_is_removed():
    # A draining upstream exits, so its registration is not renewed.
    view = new_view(upstream_item("u1", state="draining"))
    view.begin_lapse_grace(now_s=10.0)
    view.apply(gone("servers/u1"), now_s=10.0)
    assert view.find(UpstreamId("u1")) is None


def test_restarted_upstream_replaces_the_old_registration():
    # After a restart at another address, requests must not go to the old address.
    view = new_view(upstream_item("u1"))
    old = view.find(UpstreamId("u1"))
    view.apply(upstream_item("u1", address="10.0.0.2:80", born=5), now_s=1.0)
    new = view.find(UpstreamId("u1"))
    assert new.registration.host == "10.0.0.2"
    assert new.received_at_s > old.received_at_s


def test_domain_with_most_bytes_of_large_results():
    view = new_view(
        upstream_item("u1"), upstream_item("u2", zone="b", address="10.0.0.2:80")
    )
    sizes = {"10.0.0.1:80": 3_000_000, "10.0.0.2:80": 6_000_000}
    assert view.domain_with_most_bytes(sizes) == FailureDomainName("b")
    assert view.domain_with_most_bytes({"10.0.0.2:80": 8_000}) is None


@pytest.mark.parametrize(
    ("change", "left"),
    [
        (gone("servers/a"), ["b"]),
        (item("op/evacuate/b", {}), ["a"]),
        (upstream_item("b", state="draining"), ["a"]),
        (upstream_item("b", service="other"), ["a"]),
        (upstream_item("c"), ["a", "b", "c"]),
        (item("servers/a", b"{"), ["b"]),
    ],
)
def test_list_of_upstreams_is_kept_until_one_changes(change, left):
    # A list that is kept too long sends requests to upstreams that have left.
    view = new_view(upstream_item("a", zone="a"), upstream_item("b", zone="b"))
    before = view.available_upstreams(_POOL, now_s=0.0)
    assert view.available_upstreams(_POOL, now_s=1.0) is before
    view.apply(change, now_s=1.0)
    assert ids(view, now_s=1.0) == left
