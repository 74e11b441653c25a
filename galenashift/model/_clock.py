"""Clocks. Decision functions take the time as an argument and read no clock."""

import time


def boot_time_s() -> float:
    """Read the monotonic clock that ages and timeouts are measured with.

    The clock also counts the time in which the instance is suspended, so that
    a daemon that resumes sees how stale its state is.

    :returns: Seconds since the instance booted.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time_s() -> float:
    """Read the clock for timestamps that leave the process.

    :returns: Seconds since the Unix epoch.
    """
    return time.time()
