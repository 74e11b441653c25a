"""Real daemons against the stand-ins: start, shutdown, reload, death of all."""

import json
import signal
import time
from random import Random

import httpcore
import pytest
import trio

from soak._callers import Callers, Ended
from soak._checks import check_attempts
from soak._deployment import Deployment

pytestmark = pytest.mark.process
_START_S = 15.0


def play(tmp_path, use, *, daemons=2):
    """Run `use(deployment, crowd)` beside callers that send all the time."""

    async def run():
        random = Random(5)
        deployment = Deployment(folder=tmp_path, random=random, clock=time.monotonic)
        crowd = Callers(daemons=deployment.daemons, random=random, clock=time.monotonic)
        try:
            async with trio.open_nursery() as nursery:
                await deployment.start(nursery, daemons=daemons)
                await registered(deployment, daemons)
                async with trio.open_nursery() as work:
                    for _ in range(6):
                        work.start_soon(crowd.run)
                    await use(deployment, crowd)
                    crowd.stopped = True
                nursery.cancel_scope.cancel()
        finally:
            deployment.end()
        assert check_attempts(crowd.attempts, deployment.upstreams) == []

    trio.run(run)


async def registered(deployment, daemons):
    with trio.fail_after(_START_S):
        while len(deployment.store.keys("daemons/")) < daemons:
            await trio.sleep(0.05)


async def answered(crowd, count):
    """Wait until that many further attempts were answered."""
    before = len(crowd.attempts)
    with trio.fail_after(_START_S):
        while (
            sum(each.ended is Ended.ANSWERED for each in crowd.attempts[before:])
            < count
        ):
            await trio.sleep(0.05)


def events_of(daemon):
    names = []
    for line in daemon.log_path.read_text("utf-8").splitlines():
        for word in line.split():
            if word.startswith("event="):
                names.append(word.removeprefix("event="))
    return names


def test_shutdown_cuts_no_request(tmp_path):
    # Callers keep their connections open until the daemon closes them.
    async def use(deployment, crowd):
        await answered(crowd, 30)
        daemon = deployment.daemons[0]
        started_s = time.monotonic()
        daemon.send(signal.SIGTERM)
        with trio.fail_after(9.0):
            while daemon.process.poll() is None:
                await trio.sleep(0.05)
        assert daemon.process.returncode == 0
        ended = [
            each
            for each in crowd.attempts
            if each.daemon == daemon.name
            and each.sent_at_s < started_s
            and each.ended_at_s > started_s
        ]
        assert all(each.ended is Ended.ANSWERED for each in ended)
        assert events_of(daemon)[0] == "started"
        assert events_of(daemon)[-1] == "stopped"

    play(tmp_path, use)


def test_all_daemons_die_at_once(tmp_path):
    # Nothing lasts on an instance; everything comes back from the store.
    async def use(deployment, crowd):
        await answered(crowd, 30)
        for daemon in deployment.daemons:
            daemon.send(signal.SIGKILL)
        await trio.sleep(0.2)
        for daemon in deployment.daemons:
            daemon.start()
        await answered(crowd, 60)

    play(tmp_path, use)


def test_settings_are_read_again_on_a_signal(tmp_path):
    # A settings file that is broken for a moment must not end the daemon.
    async def use(deployment, crowd):
        daemon = deployment.daemons[0]
        text = daemon.settings_path.read_text("utf-8")
        daemon.settings_path.write_text("broken", "utf-8")
        daemon.send(signal.SIGHUP)
        with trio.fail_after(5.0):
            while "settings-rejected" not in events_of(daemon):
                await trio.sleep(0.05)
        daemon.settings_path.write_text(text, "utf-8")
        daemon.send(signal.SIGHUP)
        with trio.fail_after(5.0):
            while "settings-reloaded" not in events_of(daemon):
                await trio.sleep(0.05)
        await answered(crowd, 20)

    play(tmp_path, use)


def test_every_request_can_be_followed_in_the_logs(tmp_path):
    # On-call engineers have nothing else.
    async def use(deployment, crowd):
        await answered(crowd, 60)

    play(tmp_path, use)
    text = "".join(path.read_text("utf-8") for path in tmp_path.glob("*.log"))
    lines = [line for line in text.splitlines() if "event=upstream-chosen" in line]
    assert lines
    for line in lines:
        attempt = line.split("request_id=")[1].split()[0]
        ends = ("request-answered", "request-failed", "caller-gone")
        assert any(f"event={end} request_id={attempt} " in text for end in ends)


def test_readiness_and_metrics_are_served(tmp_path):
    async def use(deployment, crowd):
        await answered(crowd, 20)
        ip = deployment.daemons[0].ip
        async with httpcore.AsyncConnectionPool() as pool:
            ready = await pool.request("GET", f"http://{ip}:8621/galenashift/readyz")
            metrics = await pool.request("GET", f"http://{ip}:9464/metrics")
        assert ready.status == 200
        page = metrics.content.decode()
        assert 'galenashift_requests_total{result="answered"' in page
        assert "galenashift_request_seconds" in page
        assert "galenashift_store_view_age_seconds" in page

    play(tmp_path, use)


def test_stand_in_refuses_a_change_whose_condition_fails(tmp_path):
    # The soak is worth what its store is worth.
    async def use(deployment, crowd):
        store = deployment.store
        reply = store._change({"expected": [{"key": "op/config", "rev": 0}]})
        assert reply.status == 412
        reply = store._get("op/config")
        assert json.loads(reply.body)["rev"] > 0

    play(tmp_path, use, daemons=1)
