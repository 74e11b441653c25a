"""Invariants 1 and 4: whole answers, each to its own request, under failures."""

from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest

from testbed import (
    API_KEYS_BY_ORGANISATION,
    SmallOptions,
    call_until_admitted,
    expected_lookup,
    expected_tokens,
    start_small,
    stream_until_admitted,
)

NORTH = API_KEYS_BY_ORGANISATION["north"]
STREAMS = 16
LOOKUPS = 60


def stream(daemon, number, **options):
    return stream_until_admitted(
        daemon=daemon,
        pipeline="generate",
        api_key=NORTH,
        document={"number": number},
        **options,
    )


def streams_at_once(daemon, count=STREAMS):
    with ThreadPoolExecutor(count) as callers:
        return list(callers.map(lambda number: stream(daemon, number), range(count)))


def lookups_at_once(daemon, numbers=range(LOOKUPS)):
    def look(number):
        return call_until_admitted(
            daemon=daemon,
            pipeline="lookup",
            api_key=NORTH,
            document={"number": number},
        )

    with ThreadPoolExecutor(len(numbers)) as callers:
        return list(callers.map(look, numbers))


def assert_true_so_far(outcome, number):
    """Check that a stream is a part of its own answer, and marked as such."""
    wanted = expected_tokens({"number": number})
    assert outcome.indexes == tuple(range(len(outcome.indexes)))
    assert list(outcome.texts) == wanted[: len(outcome.texts)]
    if outcome.count is None:
        assert outcome.refusal is not None or outcome.aborted
    else:
        assert outcome.count == len(outcome.texts) == len(wanted)
        assert not outcome.aborted


def assert_whole(outcomes):
    for number, outcome in enumerate(outcomes):
        assert_true_so_far(outcome, number)
        assert outcome.count is not None, outcome


def set_faults(deployment, pool, **faults):
    for name, process in deployment.upstreams_by_id.items():
        if name.startswith(pool):
            deployment.control(process, faults)


def faults_left(deployment, pool, names):
    """Count the faults of a pool that no answer has used up yet."""
    return sum(
        deployment.record(process)["faults"][fault]
        for name, process in deployment.upstreams_by_id.items()
        if name.startswith(pool)
        for fault in names
    )


def engine_with_work(deployment):
    """Return the name of the engine that runs a stream now, or None."""
    for each in deployment.executions(pool="engines"):
        if each["outcome"] == "running":
            return each["upstream_id"]
    return None


class Once:
    """Runs an action when a token of an index first arrives."""

    def __init__(self, index, action):
        self.index, self.action, self.done = index, action, False

    def __call__(self, index):
        if index >= self.index and not self.done:
            self.done = True
            self.action()


@pytest.mark.parametrize(
    "faults",
    [
        {"break_streams": 4, "break_after_tokens": 3},
        # Every stream breaks again after each resume.
        {"break_streams": 1000, "break_after_tokens": 6},
        {"skip_tokens": 4},
        {"drop_stream_ends": 3},
        {"wrong_exchanges": 3},
    ],
    ids=lambda faults: "-".join(faults),
)
def test_faulty_streams_are_resumed_whole(deployment, faults):
    # Guards against a gap, a repeated token or a missing end that a caller sees,
    # and against executing a stream again that the engine still has.
    (daemon,) = start_small(deployment, options=SmallOptions(daemons=1))
    set_faults(deployment, "engines", **faults)
    assert_whole(streams_at_once(daemon))
    executions = deployment.executions(pool="engines")
    assert len({each["input_digest"] for each in executions}) == STREAMS
    # A stream may leave an engine that has not started it for one with a free slot.
    started = [
        each for each in executions if each["tokens"] or each["outcome"] != "cancelled"
    ]
    assert len(started) == STREAMS, _repeated(started)


def _repeated(executions):
    """List the executions of streams that were executed more than once."""
    count_by_digest = Counter(each["input_digest"] for each in executions)
    return [each for each in executions if count_by_digest[each["input_digest"]] > 1]


@pytest.mark.parametrize(
    ("faults", "faulty"),
    [
        ({"lose_answers": 2}, 4),
        ({"truncate_answers": 2}, 4),
        ({"stale_answers": 2}, 4),
        ({"wrong_exchanges": 2}, 4),
        # Later than the time after which a connection counts as silent, so that
        # the late answers arrive when the calls have been repeated.
        ({"delay_answers": 2, "delay_s": 2.6}, 4),
        ({"delay_answers": 30, "delay_s": 0.3}, 0),
    ],
    ids=lambda value: "-".join(value) if isinstance(value, dict) else str(value),
)
def test_faulty_answers_reach_no_caller(deployment, faults, faulty):
    # Guards against half an answer, or that of another request, given to a caller.
    (daemon,) = start_small(deployment, options=SmallOptions(daemons=1))
    before = len(deployment.executions(pool="directory"))
    set_faults(deployment, "directory", **faults)
    replies = lookups_at_once(daemon)
    # A daemon avoids an upstream after its first faulty answers, so that the first
    # requests may leave some of the faults unused.
    counted = [name for name in faults if faulty and name != "delay_s"]
    for _ in range(20):
        if not faults_left(deployment, "directory", counted):
            break
        start = len(replies)
        replies += lookups_at_once(daemon, range(start, start + LOOKUPS))
    assert not faults_left(deployment, "directory", counted)
    failed = [reply for reply in replies if reply.status != 200]
    # A call and its repetition may both be answered late, beyond the deadline.
    statuses = {502, 504} if "delay_answers" in faults else {502}
    for reply in failed:
        assert reply.status in statuses, reply
        assert reply.verdict == "may-have-run", reply
    for number, reply in enumerate(replies):
        assert reply in failed or reply.json() == expected_lookup({"number": number})
    # Each faulty answer is dropped: its call is repeated, or fails when the pool is
    # too busy for a retry.
    executions = deployment.executions(pool="directory")[before:]
    assert len({each["input_digest"] for each in executions}) == len(replies)
    assert len(executions) + len(failed) == len(replies) + faulty


def hold_engines(deployment, index):
    """Let engines produce no token from an index on, until the index is None."""
    for name, process in deployment.upstreams_by_id.items():
        if name.startswith("engines") and process.running:
            deployment.control(process, {"hold_at_token": index})


@pytest.mark.parametrize("end", ["kill", "crash"])
def test_streams_move_when_their_engine_dies(deployment, end):
    # Guards against tokens that are lost or sent twice when another engine goes on.
    (daemon,) = start_small(deployment, options=SmallOptions(daemons=1))

    # Without the hold, the engine may be done before the caller has read token 5.
    hold_engines(deployment, 10)

    def end_engine():
        process = deployment.upstreams_by_id[engine_with_work(deployment)]
        if end == "kill":
            process.kill()
        else:
            deployment.control(process, {"crash": True})
            process.wait_end()
        hold_engines(deployment, None)

    once = Once(5, end_engine)
    with ThreadPoolExecutor(8) as callers:
        first = callers.submit(stream, daemon, 0, on_token=once)
        others = [callers.submit(stream, daemon, number) for number in range(1, 8)]
        assert_whole([each.result() for each in (first, *others)])
    assert once.done


def test_stream_that_loses_two_engines_ends_visibly_incomplete(deployment):
    # A request runs on at most two upstreams that die with it. Guards against a
    # truncated stream that looks complete.
    (daemon,) = start_small(deployment, options=SmallOptions(daemons=1, engines=3))
    hold_engines(deployment, 12)
    kills = []

    def kill_engine(index):
        if index in (4, 9) and index not in kills:
            kills.append(index)
            deployment.upstreams_by_id[engine_with_work(deployment)].kill()

    outcome = stream(daemon, 0, on_token=kill_engine)
    assert_true_so_far(outcome, 0)
    assert kills == [4, 9]
    assert len(outcome.texts) >= 10
    assert outcome.count is None
    assert outcome.error is not None
    assert outcome.aborted


def test_stream_moves_while_its_engine_is_frozen(deployment):
    # Guards against tokens of a woken engine that reach the caller a second time.
    (daemon,) = start_small(deployment, options=SmallOptions(daemons=1))
    frozen = []

    hold_engines(deployment, 10)

    def freeze_engine():
        name = engine_with_work(deployment)
        process = deployment.upstreams_by_id[name]
        process.pause()
        frozen.append(process)
        (other,) = {"engines-1", "engines-2"} - {name}
        deployment.control(deployment.upstreams_by_id[other], {"hold_at_token": None})

    try:
        moved = stream(daemon, 0, on_token=Once(5, freeze_engine))
    finally:
        for process in frozen:
            process.resume()
    assert frozen
    hold_engines(deployment, None)
    assert_true_so_far(moved, 0)
    assert moved.count is not None, moved
    deployment.wait_until(
        lambda: engine_with_work(deployment) is None, what="the woken engine is idle"
    )
    assert_whole(streams_at_once(daemon))
