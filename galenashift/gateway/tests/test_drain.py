"""The end of a shutdown."""

import trio
import trio.testing

from galenashift.gateway._drain import Shutdown

GRACE_S = 8.0


def shut_down(*, last_answers_s):
    """Run a shutdown with one request that does not end by itself.

    :param last_answers_s: Time that its failure takes, in seconds.
    :returns: When the request was failed and when the process may exit, in seconds
        after the signal.
    """
    failed_at_s = []
    open_requests = 1

    async def run():
        nonlocal open_requests
        shutdown = Shutdown(grace_s=GRACE_S)
        begun_at_s = trio.current_time()
        shutdown.begin(now_s=begun_at_s)

        async def answer():
            nonlocal open_requests
            await trio.sleep(last_answers_s)
            open_requests = 0

        async with trio.open_nursery() as nursery:

            def fail():
                failed_at_s.append(trio.current_time() - begun_at_s)
                nursery.start_soon(answer)

            await shutdown.wait_until_done(
                requests=lambda: open_requests,
                refuse_unsent=lambda: None,
                fail_unanswered=fail,
                close_listener=lambda: 0,
                clock=trio.current_time,
            )
            nursery.cancel_scope.cancel()
        return trio.current_time() - begun_at_s

    ended_at_s = trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return failed_at_s, ended_at_s


def test_open_requests_are_failed_and_answered_before_sigkill():
    # The process exited at once, so that their callers got no answer.
    (failed_at_s,), ended_at_s = shut_down(last_answers_s=0.05)
    assert GRACE_S - 0.5 <= failed_at_s < GRACE_S - 0.3
    assert failed_at_s + 0.05 <= ended_at_s < GRACE_S - 0.2


def test_callers_that_do_not_read_do_not_delay_the_exit():
    _, ended_at_s = shut_down(last_answers_s=60.0)
    assert ended_at_s < GRACE_S - 0.2
