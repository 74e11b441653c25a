"""Organisations that are removed from the configuration of running daemons."""

import pytest
import trio

from soak._deployment import API_KEY
from soak.tests.harness import Harness, run

pytestmark = pytest.mark.process

#: Time within which a configuration is in force at all daemons, in seconds.
APPLY_S = 2.5
_CONFIG_KEY = "op/config"


def has_arrived(harness, attempt):
    return any(
        arrival.attempt_id == attempt
        for upstream in harness.deployment.upstreams
        for arrival in upstream.arrivals
    )


@pytest.mark.parametrize("tenants", [[], None], ids=["empty", "null"])
def test_removal_of_the_last_organisation_lets_nobody_in(tmp_path, tenants):
    # Guards against a list of organisations that becomes empty and counts as absent, so
    # that requests with a removed key, or with none, are executed.
    async def scenario(harness):
        store = harness.deployment.store
        config = store.record(_CONFIG_KEY)
        version = config["version"]
        removed = config | {"version": version + 1, "tenants": tenants}
        store.put(_CONFIG_KEY, removed)
        await trio.sleep(APPLY_S)
        for daemon in harness.daemons:
            for key in (API_KEY, "unknown", "", None):
                attempt = harness.next_attempt()
                status = await harness.send(daemon, "write", attempt=attempt, key=key)
                assert status == 401
                assert not has_arrived(harness, attempt)
        store.put(_CONFIG_KEY, config | {"version": version + 2})
        await trio.sleep(APPLY_S)
        for daemon in harness.daemons:
            assert await harness.send(daemon, "write") == 200

    run(Harness(tmp_path, daemons=2), scenario)
