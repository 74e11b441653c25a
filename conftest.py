"""Configures hypothesis so that every run draws the same examples; shared fixtures."""

import os
import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

import pytest
from hypothesis import settings

settings.register_profile("ci", derandomize=True, max_examples=100, deadline=None)
settings.register_profile("soak", max_examples=20_000, deadline=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture
def count_steps() -> Callable[..., int]:
    """Return a function that counts the bytecode instructions that another executes."""

    def count(function: Callable[..., object], *arguments: object) -> int:
        steps = 0

        def trace(frame: FrameType, event: str, argument: object) -> Any:
            nonlocal steps
            # Calls alone would not show a loop that makes none.
            frame.f_trace_opcodes = True
            frame.f_trace_lines = False
            steps += event == "opcode"
            return trace

        previous = sys.gettrace()
        sys.settrace(trace)
        try:
            function(*arguments)
        finally:
            sys.settrace(previous)
        return steps

    return count
