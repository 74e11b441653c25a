"""Decides when the record of a rollout is written to the store."""

from dataclasses import dataclass

from galenashift.model import RolloutOrder, RolloutRecord, RolloutState, VersionName

from ._schedule import record_interval_s

#: Least time between two writes to the store, in seconds.
_MIN_WRITE_INTERVAL_S = 1.0


@dataclass(frozen=True, kw_only=True)
class Position:
    """Where the rollout stands."""

    state: RolloutState = RolloutState.RUNNING
    share: float = 0.0
    sequence: int = 0
    cause: str = "ordered"


class RecordWriter:
    """What the store has of one rollout, and what it should get.

    :param from_version: Version in force before the order.
    :param now_s: Boot-time clock, in seconds.
    """

    def __init__(
        self, *, order: RolloutOrder, from_version: VersionName | None, now_s: float
    ) -> None:
        self._order = order
        self._from_version = from_version
        self._stored: RolloutRecord | None = None
        self._written: RolloutRecord | None = None
        self._next_write_s = now_s
        self._next_refresh_s = now_s

    def note_stored(self, record: RolloutRecord, *, now_s: float) -> None:
        """Note a record that the store has.

        :param now_s: Boot-time clock, in seconds.
        """
        stored = self._stored
        if stored is not None and record.sequence < stored.sequence:
            return
        self._stored = record
        if record not in (stored, self._written):
            # Another daemon has just written; two writes are a second apart.
            self._next_write_s = max(self._next_write_s, now_s + _MIN_WRITE_INTERVAL_S)

    def record_to_write(
        self,
        position: Position,
        *,
        remaining_s: float,
        exposure: int,
        requests: int,
        now_s: float,
    ) -> RolloutRecord | None:
        """Return the record that the store should get now, if any.

        :param remaining_s: Time left before the deadline, in seconds.
        :param exposure: Requests that were sent to the new version.
        :param requests: Requests that were sent to both versions.
        :param now_s: Boot-time clock, in seconds.
        """
        if now_s < self._next_write_s or self._is_stored(position, now_s):
            return None
        self._next_write_s = now_s + _MIN_WRITE_INTERVAL_S
        self._next_refresh_s = now_s + record_interval_s(self._order.duration_s)
        self._written = RolloutRecord(
            service=self._order.service,
            order_revision=self._order.revision,
            from_version=self._from_version,
            to=self._order.to,
            state=position.state,
            sequence=position.sequence,
            share=position.share,
            remaining_s=remaining_s,
            exposure=exposure,
            requests=requests,
            cause=position.cause,
        )
        return self._written

    def _is_stored(self, position: Position, now_s: float) -> bool:
        """Tell whether the store needs no other record than the one it has."""
        stored = self._stored
        if stored is None:
            return False
        if stored.state.is_final:
            return True
        is_same = (stored.state, stored.sequence) == (position.state, position.sequence)
        return is_same and now_s < self._next_refresh_s
