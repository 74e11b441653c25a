"""Bounded queue between the task that produces a stream and its consumer."""

from collections import deque
from typing import Generic, TypeVar

import trio

_Item = TypeVar("_Item")


class ItemQueue(Generic[_Item]):
    """A bounded queue with one producer and one consumer.

    A trio memory channel switches tasks for each item. With this queue the consumer
    reads all items that are queued without a task switch between them.

    :param limit: Maximum number of queued items; `put` waits at this limit.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._items: deque[_Item] = deque()
        self._not_empty = trio.lowlevel.ParkingLot()
        self._not_full = trio.lowlevel.ParkingLot()
        self._ended = False
        self._consumer_closed = False

    def __aiter__(self) -> "ItemQueue[_Item]":
        return self

    async def __anext__(self) -> _Item:
        while not self._items:
            if self._ended:
                raise StopAsyncIteration
            await self._not_empty.park()
        if self._not_full:
            self._not_full.unpark()
        return self._items.popleft()

    def has_next(self) -> bool:
        """Return whether an item can be read without waiting."""
        return bool(self._items)

    async def put(self, item: _Item) -> None:
        """Add an item; wait while the queue is full.

        After `close_consumer` the item is discarded.
        """
        while len(self._items) >= self._limit and not self._consumer_closed:
            await self._not_full.park()
        if not self._consumer_closed:
            self._items.append(item)
            if self._not_empty:
                self._not_empty.unpark()

    def end(self) -> None:
        """End the iteration after the queued items."""
        self._ended = True
        self._not_empty.unpark_all()

    def close_consumer(self) -> None:
        """Discard the queued items and all that are added later."""
        self._consumer_closed = True
        self._items.clear()
        self._not_full.unpark_all()
