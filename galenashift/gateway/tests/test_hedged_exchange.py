"""Races of two exchanges of one request, in all orders of their ends."""

from dataclasses import replace
from itertools import product

import pytest

from galenashift.gateway._caller import CallerGone
from galenashift.gateway._outcomes import Answered
from galenashift.gateway.tests.factories import (
    new_memory,
)
from galenashift.gateway.tests.hedge_fakes import (
    FAILED,
    FAST,
    GOOD,
    OUTCOMES,
    SILENT_SCRIPT,
    SLOW,
    RaceExchanger,
    Script,
    changed_config,
    race,
    streamed,
)
from galenashift.gateway.tests.relay_fakes import (
    BROKEN,
    FakeCrashes,
    FakeResponder,
    serve,
)
from galenashift.telemetry import Metrics

#: Delay of the routes without samples: half of their latency goal, in seconds.
DELAY_S = 0.2
#: Time of the request's deadline, in seconds.
DEADLINE_S = 1.5
#: Times of ends: before the delay, before and after a usual answer of the hedge.
TIMES_S = (0.11, 0.23, 0.37, 0.9)


def all_scripts():
    for name, after_s in product(OUTCOMES, TIMES_S):
        if name != "silent":
            yield Script(outcome=OUTCOMES[name], after_s=after_s)
    yield SILENT_SCRIPT


def check_race(exchanges, responder):
    """Check what holds for every race."""
    good = [each for each in exchanges if each.outcome is GOOD]
    # One answer, the first good one, and at once.
    assert (responder.status == 200) == bool(good)
    assert len(good) <= 1
    end_s = responder.elapsed_s
    if good:
        assert end_s == pytest.approx(good[0].ended_at_s)
    # Nothing runs on, and nothing was given up before the end.
    for each in exchanges:
        assert each.ended_at_s <= end_s + 1e-6
        if each.outcome is None:
            assert each.ended_at_s == pytest.approx(end_s)
    # The limits of the route hold, and no upstream gets a request twice.
    assert sum(each.was_sent for each in exchanges) <= 2
    assert len({each.upstream_id for each in exchanges}) == len(exchanges)
    assert end_s <= DEADLINE_S + 1e-6
    # The verdict is true, and no answer of an upstream is withheld.
    if b"not-run" in responder.body:
        assert not any(each.may_have_run for each in exchanges)
    if not good and any(isinstance(each.outcome, Answered) for each in exchanges):
        assert (responder.status, responder.body) == (500, b"body")
    elif not good:
        ran = any(each.may_have_run for each in exchanges)
        assert responder.status in ({502, 504} if ran else {503})


@pytest.mark.parametrize("name", ["read", "resumed"])
def test_each_order_of_two_answers_gives_one_true_answer(name):
    # Two exchanges at a time can deliver two answers, leave one running, or state that
    # a request has not run while the other one still runs it.
    for first, second in product(all_scripts(), repeat=2):
        exchanges, responder = race(name, first, second, SILENT_SCRIPT)
        check_race(exchanges, responder)
        if first.after_s > DELAY_S:
            assert exchanges[1].started_at_s == pytest.approx(DELAY_S)


@pytest.mark.parametrize("second", [SILENT_SCRIPT, streamed(0.05)])
def test_caller_that_is_found_gone_ends_both_exchanges(monkeypatch, second):
    # In a group of exceptions, the connection would not be recognised as closed.
    async def fail(responder, **answer):
        raise CallerGone

    monkeypatch.setattr(FakeResponder, "start", fail)
    exchanger = RaceExchanger(scripts=[streamed(0.3), second])
    with pytest.raises(CallerGone):
        serve("resumed", exchanger=exchanger, hedge_share=1.0)
    end_s = 0.3 if second is SILENT_SCRIPT else 0.25
    ends_s = [each.ended_at_s for each in exchanger.exchanges]
    assert ends_s == pytest.approx([end_s, end_s])


@pytest.mark.parametrize("leave_after_s", [0.1, 0.21, 0.3])
def test_both_exchanges_end_when_the_caller_leaves(leave_after_s):
    # An upstream must stop its work within half a second after that.
    exchanges, responder = race(
        "read", SILENT_SCRIPT, SILENT_SCRIPT, leave_after_s=leave_after_s
    )
    assert len(exchanges) == (2 if leave_after_s > DELAY_S else 1)
    assert {each.ended_at_s for each in exchanges} == {leave_after_s}
    assert responder.status is None


@pytest.mark.parametrize(
    ("first", "refused"),
    [
        (SILENT_SCRIPT, False),
        (Script(outcome=BROKEN, after_s=0.25), False),
        # Neither upstream runs it: one refused it, the other is not connected.
        (Script(outcome=OUTCOMES["refused"], after_s=0.25), True),
    ],
)
def test_process_that_ends_refuses_a_race_only_if_nothing_was_sent(first, refused):
    # A caller that reads "not run" sends the request again while it is executed.
    connecting = Script(outcome=OUTCOMES["not-sent"])
    exchanges, responder = race("read", first, connecting, refuse_after_s=0.3)
    assert len(exchanges) == 2
    assert (b"not-run" in responder.body) is refused
    assert (responder.elapsed_s < 0.31) is refused


def test_hedge_that_is_running_keeps_a_refusal_from_being_not_run():
    # The first upstream has refused the request, and the second may be executing it.
    refused = Script(outcome=OUTCOMES["refused"], after_s=0.25)
    _, responder = race("read", refused, SILENT_SCRIPT)
    assert responder.status == 504
    assert b"may-have-run" in responder.body


def test_hedge_as_the_last_attempt_may_take_until_the_deadline():
    # With the timeout of a first attempt, a slow service would answer 504 more often.
    hedge = Script(outcome=GOOD, after_s=1.2)
    exchanges, responder = race("read", SILENT_SCRIPT, hedge)
    assert responder.status == 200
    assert exchanges[0].ended_at_s == pytest.approx(0.5)


@pytest.mark.parametrize(
    ("first", "second", "winner"),
    [
        (streamed(0.3, 0.5), streamed(0.05, 0.2), 1),
        (streamed(0.3, 0.5), streamed(0.2, 0.3), 0),
        (streamed(0.1, 0.4), streamed(0.05), 0),
        (streamed(0.3, 0.4), Script(outcome=FAILED, after_s=0.05), 0),
        (streamed(0.3), streamed(0.1), 0),
    ],
)
def test_stream_consists_of_the_events_of_one_upstream(first, second, winner):
    # Events of two executions of a prompt give a text that no model wrote.
    exchanges, responder = race("resumed", first, second)
    winning = exchanges[winner]
    expected = b"".join(
        b"id: %.2f\ndata: %s\n\n" % (at_s, winning.upstream_id.encode())
        for at_s in winning.script.events
    )
    assert responder.finished
    assert responder.body == expected
    for loser in exchanges:
        if loser is not winning and loser.outcome is None:
            first_event_s = winning.started_at_s + winning.script.events[0]
            assert loser.ended_at_s == pytest.approx(first_event_s)


def test_stream_that_breaks_after_it_has_won_is_resumed():
    # The winner's last event is the place to resume, not that of the other exchange.
    broken = streamed(0.05, 0.1, complete=False)
    exchanges, responder = race(
        "resumed",
        SILENT_SCRIPT,
        broken,
        streamed(0.1),
        config=changed_config("resumed", max_attempts=3),
    )
    assert len(exchanges) == 3
    assert dict(exchanges[2].request.headers)[b"last-event-id"] == b"0.10"
    assert responder.body.count(b"data:") == 3
    assert responder.finished


def test_hedge_that_is_cancelled_counts_as_an_attempt():
    # The upstream has received it; a third send would exceed the route's limit.
    broken = streamed(0.3, 0.5, complete=False)
    exchanges, _ = race("resumed", broken, SILENT_SCRIPT, streamed(0.1))
    assert exchanges[1].was_sent
    assert len(exchanges) == 2


@pytest.mark.parametrize("name", ["write", "stream"])
def test_request_that_must_not_be_repeated_is_never_hedged(name):
    # The first upstream may execute it at any moment.
    exchanges, _ = race(name, SILENT_SCRIPT, FAST)
    assert len(exchanges) == 1


@pytest.mark.parametrize("leave_after_s", [None, 0.3])
def test_memory_for_answers_counts_both_and_is_freed(leave_after_s):
    # An event that was begun by the loser would occupy the memory for ever.
    memory = new_memory()
    first = Script(outcome=GOOD, partial=b"data: 1234")
    second = replace(streamed(0.2), partial=b"data: 12345678")
    exchanges, responder = race(
        "resumed", first, second, memory=memory, leave_after_s=leave_after_s
    )
    assert exchanges[1].memory_bytes == len(first.partial + second.partial)
    assert memory.used_bytes == 0
    if leave_after_s is None:
        assert responder.body.startswith(second.partial)
        assert first.partial + b"id" not in responder.body


def test_failure_of_the_loser_is_evidence_on_its_upstream():
    # An upstream that fails late would stay in use, as nobody counts its failures.
    records = {}

    def keep(view, health):
        records["health"] = health

    broken = Script(outcome=BROKEN, after_s=0.21)
    crashes = FakeCrashes()
    exchanges, responder = race("read", broken, SLOW, prepare=keep, crashes=crashes)
    assert responder.status == 200
    record = records["health"].record_of(exchanges[0].upstream_id)
    assert record.consecutive_failures == 1
    assert record.in_flight == 0
    assert len(crashes.suspicions) == 1


def test_upstream_that_loses_counts_as_slow():
    # An upstream that hangs would get every request, as no answer of it ever counts.
    records = {}

    def keep(view, health):
        records["health"] = health

    exchanges, _ = race("read", SILENT_SCRIPT, FAST, prepare=keep)
    record = records["health"].record_of(exchanges[0].upstream_id)
    assert record.latency_s > 0
    assert record.consecutive_failures == 0


@pytest.mark.parametrize(
    ("second", "result"),
    [
        (FAST, "won"),
        (SILENT_SCRIPT, "lost"),
        (Script(outcome=FAILED, after_s=0.1), "lost"),
    ],
)
def test_results_of_hedges_are_counted(second, result):
    # An operator sets the share by what hedges gain.
    metrics = Metrics()
    race("read", SLOW, second, metrics=metrics)
    text = metrics.render()
    assert 'hedges_sent_total{service="pool"} 1' in text
    assert f'hedges_ended_total{{result="{result}",service="pool"}} 1' in text
