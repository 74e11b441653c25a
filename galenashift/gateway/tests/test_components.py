"""What the settings switch on."""

import json
from dataclasses import replace

import pytest

from galenashift.gateway._components import GatewayComponents
from galenashift.gateway.tests.factories import plain_answer
from galenashift.gateway.tests.relay_fakes import BOUNDS
from galenashift.gateway.tests.test_view import item, upstream_item
from galenashift.model import (
    DaemonId,
    FailureDomainName,
    ServiceName,
    UnreadableValue,
    UpstreamId,
    UpstreamLoad,
)
from galenashift.platform import Address, PlatformSettings
from galenashift.telemetry import EventLog, Metrics

_SETTINGS = PlatformSettings(
    daemon_id=DaemonId("d1"),
    failure_domain=FailureDomainName("a"),
    callers=Address(host="127.0.0.1", port=1),
    ready=Address(host="127.0.0.1", port=2),
    peers=Address(host="127.0.0.1", port=3),
    store=Address(host="127.0.0.1", port=4),
    cores=1.0,
    memory_bytes=300_000_000,
    max_descriptors=4_100,
    link_mbps=100.0,
    bounds=BOUNDS,
)
_CONFIG = {
    "version": 1,
    "routes": [],
    "services": [{"name": "pool", "engine": {"kv_tokens": 100_000}}],
}


def new_components(*contracts):
    components = GatewayComponents(
        settings=replace(_SETTINGS, contracts=frozenset(contracts)),
        events=EventLog(level="error"),
        metrics=Metrics(),
        drain_period=lambda: None,
        on_view_change=lambda name, fields: components.apply_view_change(name, fields),
        clock=lambda: 1.0,
    )
    components.view.apply(item("op/config", _CONFIG), now_s=0.0)
    components.view.apply(upstream_item("u1"), now_s=0.0)
    return components


@pytest.mark.parametrize("contracts", [(), ("base", "rollout")])
def test_earlier_deployments_register_and_choose_as_before(contracts):
    # A further field in the store or another choice would be new to them.
    components = new_components(*contracts)
    assert components.relay._router.spread is None
    record = json.loads(components.registration._value)
    assert set(record) == {"peers", "capacity"}


def test_pressure_spreads_requests_by_domains_tokens_and_loads():
    # A part that is not connected would show in large deployments only.
    components = new_components("pressure")
    record = json.loads(components.registration._value)
    assert record["zone"] == "a"
    components.view.apply(item("daemons/d1", record), now_s=0.0)
    spread = components.relay._router.spread
    assert spread._callers_by_domain == {"a": 1}
    traffic = spread.traffic(ServiceName("pool"))
    assert traffic.max_tokens == 90_000
    upstream = components.view.find(UpstreamId("u1")).registration
    load = UpstreamLoad(running=3, waiting=1, slots=4)
    components._limiter.record_answer(upstream, plain_answer(load=load), sent_at_s=0.5)
    assert traffic.estimate(UpstreamId("u1"), now_s=1.0).requests == 4.0


def test_unreadable_load_is_counted():
    # Operators see which service sends it.
    components = new_components()
    upstream = components.view.find(UpstreamId("u1")).registration
    fields = plain_answer(unreadable_load=UnreadableValue(text="1,2"))
    components._limiter.record_answer(upstream, fields, sent_at_s=0.5)
    text = components._metrics.render()
    assert 'unreadable_load_reports_total{service="pool"} 1' in text
