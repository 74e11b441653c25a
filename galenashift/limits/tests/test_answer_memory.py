"""Which answer gives way when all answers in progress are too large."""

import pytest

from galenashift.limits import AnswerMemory

LIMIT_BYTES = 100


class Answer:
    def __init__(self, memory):
        self.frees = 0
        self.reservation = memory.reserve(on_evicted=self.free)

    def free(self):
        self.frees += 1


@pytest.mark.parametrize(
    ("sizes", "evicted"),
    [
        ((50, 50), set()),
        # The one that arrives last is not cut off for one that has grown.
        ((80, 30), {0}),
        ((10, 95), {1}),
        ((40, 40, 40), {0, 1, 2}),
    ],
)
def test_largest_answer_is_evicted(sizes, evicted):
    # Guards against a sound answer that is cut off for an answer without end.
    memory = AnswerMemory(limit_bytes=LIMIT_BYTES)
    answers = [Answer(memory) for _ in sizes]
    for answer, size in zip(answers, sizes, strict=True):
        answer.reservation.resize(size)
    found = {n for n, each in enumerate(answers) if each.reservation.is_evicted}
    assert found <= evicted
    assert bool(found) == bool(evicted)
    assert memory.used_bytes <= LIMIT_BYTES
    assert all(each.frees == each.reservation.is_evicted for each in answers)


def test_evicted_answer_holds_no_memory_any_more():
    # Guards against memory that is never free again, so that all answers are cut off.
    memory = AnswerMemory(limit_bytes=LIMIT_BYTES)
    answer = Answer(memory)
    assert not answer.reservation.resize(LIMIT_BYTES + 1)
    assert not answer.reservation.resize(10)
    answer.reservation.resize(0)
    assert memory.used_bytes == 0
    assert Answer(memory).reservation.resize(LIMIT_BYTES)
