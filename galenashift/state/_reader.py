"""Reader of a bucket: loads segments from the newest backwards."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from galenashift.model import (
    Absent,
    ActionRecord,
    Entry,
    Failure,
    KeyValueStore,
    Reason,
    not_run,
)

from ._decision import KeyHistory, apply_record
from ._index import KeyIndex, SegmentCache
from ._key import (
    CLOCK_SKEW_S,
    RETENTION_S,
    bucket_prefix,
    key_digest,
    segment_key,
    segment_number,
)
from ._segment import Segment, decode_segment

#: Segments of the page that updates a reader with the latest appends.
_REFRESH_SEGMENTS = 4

#: Minimum and maximum number of older segments in a page, and the page size in bytes
#: to which the number is adapted. The largest page fits well into the call timeout.
MIN_PAGE_SEGMENTS = 64
_MAX_PAGE_SEGMENTS = 1024
_PAGE_BYTES = 256 * 1024

#: Size of the cached segments, in bytes. At 21 actions/s, this holds the last 4
#: minutes.
CACHE_BYTES = 1_000_000

#: Age above which segments are removed from the index, in seconds. No decision needs
#: older ones, see `oldest_needed_s`.
_INDEX_RETENTION_S = RETENTION_S + 4 * CLOCK_SKEW_S


@dataclass(frozen=True, kw_only=True)
class LastSegment:
    """The newest segment of a bucket."""

    #: Number of the segment; numbers are consecutive.
    number: int
    #: Revision of the segment.
    revision: int
    #: Content of the segment.
    segment: Segment


class BucketReader:
    """Reads one bucket. Only one task may use it at a time.

    :param bucket: Number of the bucket.
    :param store: The key-value service.
    :param clock: Boot-time clock in seconds.
    :param min_page_segments: Minimum number of older segments in a page.
    :param cache_bytes: Maximum bytes of encoded segments that are cached.
    """

    def __init__(
        self,
        *,
        bucket: int,
        store: KeyValueStore,
        clock: Callable[[], float],
        min_page_segments: int = MIN_PAGE_SEGMENTS,
        cache_bytes: int = CACHE_BYTES,
    ) -> None:
        self._bucket = bucket
        self._store = store
        self._clock = clock
        self._index = KeyIndex()
        self._cache_bytes = cache_bytes
        self._cache = SegmentCache(max_bytes=cache_bytes)
        self._min_page_segments = min_page_segments
        self._page_segments = min_page_segments
        #: Number of the oldest segment read, and whether the store has no older one.
        self._oldest_number: int | None = None
        self._is_complete = False
        self._oldest_written_at_s = float("inf")
        #: The newest segment, None if the bucket is empty.
        self.last: LastSegment | None = None
        #: Boot-time clock before the last call that showed ``last`` to be the newest.
        self.as_of_s = float("-inf")

    @property
    def next_number(self) -> int:
        """Number of the segment that the next append creates."""
        return 0 if self.last is None else self.last.number + 1

    def reset(self) -> None:
        """Discard everything that was read."""
        self._index = KeyIndex()
        self._cache = SegmentCache(max_bytes=self._cache_bytes)
        self._oldest_number = None
        self._is_complete = False
        self._oldest_written_at_s = float("inf")
        self.last = None

    def covers(self, oldest_s: float) -> bool:
        """Tell whether all segments written since a time have been read.

        :param oldest_s: Unix time in seconds.
        """
        return self._is_complete or self._oldest_written_at_s < oldest_s

    async def refresh(self) -> Failure | None:
        """Read the segments appended since the last call.

        A reader that is far behind, or whose last segment has expired, is reset and
        continues from the newest page.
        """
        limit = self._min_page_segments
        if self.last is not None:
            limit = min(limit, _REFRESH_SEGMENTS)
        sent_at_s = self._clock()
        page = await self._read_page(before=None, limit=limit)
        if isinstance(page, Failure):
            return page
        last_position = None
        if self.last is not None:
            last_position = next(
                (i for i, each in enumerate(page) if self._is_last(each)), None
            )
        if last_position is None:
            self.reset()
            newer = page
            self._is_complete = len(page) < limit
        else:
            newer = page[:last_position]
        for each in reversed(newer):
            self.add_newest(each)
        self.as_of_s = sent_at_s
        return None

    async def read_older(self) -> Failure | None:
        """Read one page of older segments."""
        page = await self._read_page(
            before=self._oldest_number, limit=self._page_segments
        )
        if isinstance(page, Failure):
            self._page_segments = max(self._min_page_segments, self._page_segments // 2)
            return page
        for entry, segment in page:
            number = segment_number(entry.key)
            self._add(number, segment)
            self._cache.add_older(number, entry.value)
        self._is_complete = len(page) < self._page_segments
        size = sum(len(entry.value) for entry, _ in page)
        if self._page_segments >= MIN_PAGE_SEGMENTS:
            self._page_segments = next_page_segments(self._page_segments, size)
        return None

    async def histories(
        self, records: Iterable[ActionRecord], *, max_gets: int
    ) -> dict[int, KeyHistory | None] | Failure:
        """Return the histories of the keys of some records, as far as they were read.

        :param records: Records whose keys are looked up.
        :param max_gets: Maximum number of segments to read again from the store.
        :returns: The history for each position in ``records``. A position is left
            out if ``max_gets`` did not allow to read its segments again.
        """
        found: dict[int, KeyHistory | None] = {}
        segments_by_number: dict[int, Segment | None] = {}
        for position, record in enumerate(records):
            digest = key_digest(organisation=record.organisation, key=record.key)
            numbers = self._index.numbers(digest)
            missing = [
                number
                for number in numbers
                if number not in segments_by_number
                and not self._load_cached(number, segments_by_number)
            ]
            for number in missing[:max_gets]:
                segment = await self._get(number)
                if isinstance(segment, Failure):
                    return segment
                segments_by_number[number] = segment
            max_gets -= min(max_gets, len(missing))
            if any(number not in segments_by_number for number in missing):
                # The segments that were read are cached for the next call.
                continue
            history: KeyHistory | None = None
            for number in numbers:
                segment = segments_by_number[number]
                for each in segment.records if segment else ():
                    if (each.organisation, each.key) == (
                        record.organisation,
                        record.key,
                    ):
                        history = apply_record(history, each)
            found[position] = history
        return found

    def add_newest(self, read: tuple[Entry, Segment]) -> None:
        """Add a segment as the newest one."""
        entry, segment = read
        number = segment_number(entry.key)
        self._add(number, segment)
        self._cache.add(number, entry.value)
        self.last = LastSegment(number=number, revision=entry.revision, segment=segment)

    def remove_expired(self, *, now_s: float) -> None:
        """Remove index entries that no decision needs any more.

        :param now_s: Unix time in seconds.
        """
        self._index.remove_before(now_s - _INDEX_RETENTION_S)

    def _is_last(self, read: tuple[Entry, Segment]) -> bool:
        entry, _ = read
        return (
            self.last is not None
            and segment_number(entry.key) == self.last.number
            and entry.revision == self.last.revision
        )

    def _add(self, number: int, segment: Segment) -> None:
        self._index.add(
            digests=[
                key_digest(organisation=each.organisation, key=each.key)
                for each in segment.records
            ],
            number=number,
            written_at_s=segment.written_at_s,
        )
        self._oldest_number = (
            number if self._oldest_number is None else min(self._oldest_number, number)
        )
        self._oldest_written_at_s = min(self._oldest_written_at_s, segment.written_at_s)

    def _load_cached(
        self, number: int, segments_by_number: dict[int, Segment | None]
    ) -> bool:
        value = self._cache.get(number)
        if value is None:
            return False
        segments_by_number[number] = decode_segment(value)
        return True

    async def _get(self, number: int) -> Segment | Failure | None:
        key = segment_key(bucket=self._bucket, number=number)
        found = await self._store.get(key=key)
        match found:
            case Failure():
                return found
            case Absent():
                # The segment has expired, so its records are older than the retention.
                return None
            case Entry():
                read = _decode_entry(found)
                if isinstance(read, Failure):
                    return read
                self._cache.add(number, found.value)
                return read[1]

    async def _read_page(
        self, *, before: int | None, limit: int
    ) -> list[tuple[Entry, Segment]] | Failure:
        """Read the newest segments before a number, newest first."""
        listing = await self._store.list(
            prefix=bucket_prefix(self._bucket),
            before=None
            if before is None
            else segment_key(bucket=self._bucket, number=before),
            limit=limit,
        )
        if isinstance(listing, Failure):
            return listing
        page = []
        for _, entry in sorted(listing.entries_by_key.items(), reverse=True):
            read = _decode_entry(entry)
            if isinstance(read, Failure):
                return read
            page.append(read)
        return page


def next_page_segments(segments: int, size: int) -> int:
    """Return the maximum number of segments for the next page.

    :param segments: Maximum number of segments of the last page.
    :param size: Size of the last page's values, in bytes.
    """
    if size > _PAGE_BYTES:
        return max(MIN_PAGE_SEGMENTS, segments // 2)
    if 2 * size < _PAGE_BYTES:
        return min(_MAX_PAGE_SEGMENTS, segments * 2)
    return segments


def _decode_entry(entry: Entry) -> tuple[Entry, Segment] | Failure:
    try:
        return entry, decode_segment(entry.value)
    except ValueError as error:
        return not_run(reason=Reason.INTERNAL, detail=f"{entry.key}: {error}")
