"""Keeps background tasks running after unexpected errors."""

import traceback
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from galenashift.telemetry import EventLog, Metrics

#: Pause before a task is started again, in seconds.
RESTART_PAUSE_S = 0.5
#: Failures of one task within `FAILURE_WINDOW_S` from which the daemon is not ready.
MAX_FAILURES = 3
#: Time for which a failure counts, in seconds.
FAILURE_WINDOW_S = 10.0

Task = Callable[[], Awaitable[None]]


class FailureHistory:
    """Recent failures of the background tasks."""

    def __init__(self) -> None:
        self._times_by_task: dict[str, deque[float]] = {}

    def record(self, task: str, *, now_s: float) -> None:
        """Record a failure.

        :param task: Name of the task.
        :param now_s: Boot-time clock, in seconds.
        """
        times_s = self._times_by_task.setdefault(task, deque(maxlen=MAX_FAILURES))
        times_s.append(now_s)

    def is_healthy(self, *, now_s: float) -> bool:
        """Tell whether no task keeps failing.

        :param now_s: Boot-time clock, in seconds.
        """
        return not any(
            len(times_s) == MAX_FAILURES and now_s - times_s[0] < FAILURE_WINDOW_S
            for times_s in self._times_by_task.values()
        )


class Supervisor:
    """Starts background tasks again when they end with an exception.

    Without it, one unexpected message to a background task would end the process and
    all its requests.

    :param clock: Boot-time clock.
    """

    def __init__(
        self, *, events: EventLog, metrics: Metrics, clock: Callable[[], float]
    ) -> None:
        self._events = events
        self._metrics = metrics
        self._clock = clock
        self._history = FailureHistory()

    @property
    def healthy(self) -> bool:
        """Whether no task keeps failing."""
        return self._history.is_healthy(now_s=self._clock())

    async def run(self, name: str, task: Task) -> None:
        """Run a task until it returns; after an exception it is started again.

        :param name: Name of the task in the log and the metrics.
        """
        while not await self._run_once(name, task):
            await trio.sleep(RESTART_PAUSE_S)

    async def isolate(self, name: str, task: Task) -> None:
        """Run a task once; an exception does not reach the other tasks.

        :param name: Name of the task in the log and the metrics.
        """
        await self._run_once(name, task)

    async def _run_once(self, name: str, task: Task) -> bool:
        """Run a task and tell whether it ended without an exception."""
        try:
            await task()
        except BaseExceptionGroup as group:
            errors, cancellations = group.split(Exception)
            if errors is not None:
                self._record(name, errors)
            if cancellations is not None:
                # The daemon is stopping; trio must receive its cancellations.
                raise cancellations from None
            return False
        except Exception as error:
            self._record(name, error)
            return False
        return True

    def _record(self, name: str, error: Exception) -> None:
        self._history.record(name, now_s=self._clock())
        self._metrics.count("task_failures_total", task=name)
        cause = _first_error(error)
        self._events.error(
            "task-failed", task=name, detail=repr(cause), at=_location(cause)
        )


def _first_error(error: BaseException) -> BaseException:
    """Return an exception, or the first one of a group."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _location(error: BaseException) -> str:
    """Return the line that raised an exception, such as ``_view.py:120``."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
