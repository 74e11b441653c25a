"""Adaptive timeout for the first token of a stream."""

#: Seconds without a token after which a stream is assumed to be queued for a slot.
#: The rest of the first-token target, 0.53 s, remains for another engine. With 0.1 s,
#: streams that had already started on a busy machine were rerouted too.
_MIN_WAIT_S = 0.2
#: Upper limit of the wait, in seconds. A stream without progress for this long is
#: probed in any case.
_MAX_WAIT_S = 2.0
#: Factor applied to the wait when a rerouted stream did not start in time either.
_GROWTH_FACTOR = 2.0
#: Factor applied to the wait for each stream that started in time. Reversing one
#: doubling takes 139 streams, which limits unnecessary reroutes to about 1%.
_DECAY_FACTOR = 0.995


class FirstTokenWait:
    """Adapts the wait for the first token to the engines of one pool.

    Processing a prompt may take longer than the minimum wait. Rerouting the stream to
    another engine then does not make it start earlier, so the wait grows until streams
    are no longer rerouted.
    """

    def __init__(self) -> None:
        self._wait_s = _MIN_WAIT_S

    @property
    def wait_s(self) -> float:
        """Seconds without a first token after which a stream may be rerouted."""
        return self._wait_s

    def record(self, *, rerouted: bool, in_time: bool) -> None:
        """Adapt the wait to the outcome of one attempt.

        :param rerouted: Whether the stream was rerouted to this upstream, which was
            expected to have a free slot, because another one had not started it in
            time.
        :param in_time: Whether the attempt yielded its first token within the wait.
        """
        if in_time:
            self._wait_s = max(_MIN_WAIT_S, self._wait_s * _DECAY_FACTOR)
        elif rerouted:
            self._wait_s = min(_MAX_WAIT_S, self._wait_s * _GROWTH_FACTOR)
