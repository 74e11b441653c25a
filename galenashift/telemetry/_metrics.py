"""Counters, gauges and duration histograms in the Prometheus text format."""

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

#: Maximum number of label sets of a counter or gauge. Any further label sets are
#: counted under a shared overflow label set.
MAX_LABEL_SETS = 1_000
#: Maximum number of label sets of a histogram, each of which takes about 28 KB.
MAX_HISTOGRAM_LABEL_SETS = 100

_NAME = re.compile(r"^[a-z][a-z0-9_]*$")
_OVERFLOW_LABELS: "_LabelSet" = (("overflow", "true"),)
_PREFIX = "galenashift_"
_MIN_DURATION_US = 1
_MAX_DURATION_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (0.5, 0.9, 0.95, 0.99)

_LabelSet = tuple[tuple[str, str], ...]


@dataclass(kw_only=True)
class _Durations:
    """Recorded durations of one label set."""

    #: Durations in microseconds.
    histogram: Any = field(
        default_factory=lambda: HdrHistogram(
            _MIN_DURATION_US, _MAX_DURATION_US, _SIGNIFICANT_DIGITS
        )
    )
    #: Sum of the durations, in seconds.
    sum_s: float = 0.0
    #: Number of durations.
    count: int = 0


class Metrics:
    """Metrics of one daemon, with a bounded number of label sets.

    :param help_by_name: Help texts of metrics, by name without prefix.
    """

    def __init__(self, *, help_by_name: Mapping[str, str] | None = None) -> None:
        self._help_by_name = dict(help_by_name or {})
        self._counters: dict[str, dict[_LabelSet, float]] = {}
        self._gauges: dict[str, dict[_LabelSet, float]] = {}
        self._durations: dict[str, dict[_LabelSet, _Durations]] = {}

    def count(self, name: str, amount: float = 1, **labels: object) -> None:
        """Add to a counter.

        :param name: Name without prefix, by convention ending in ``_total``.
        :param amount: Increment, not negative.
        """
        values = _get_or_create_family(self._counters, name)
        key = _bounded_label_set(values, labels, limit=MAX_LABEL_SETS)
        values[key] = values.get(key, 0) + amount

    def set_gauge(self, name: str, value: float, **labels: object) -> None:
        """Set a gauge.

        :param name: Name without prefix.
        """
        values = _get_or_create_family(self._gauges, name)
        values[_bounded_label_set(values, labels, limit=MAX_LABEL_SETS)] = value

    def observe(self, name: str, duration_s: float, **labels: object) -> None:
        """Add a duration to a histogram.

        :param name: Name without prefix, by convention ending in ``_seconds``.
        :param duration_s: Seconds; clamped to 1 us to 1 h in the quantiles.
        """
        family = _get_or_create_family(self._durations, name)
        key = _bounded_label_set(family, labels, limit=MAX_HISTOGRAM_LABEL_SETS)
        durations = family.get(key)
        if durations is None:
            durations = family[key] = _Durations()
        duration_us = int(duration_s * 1_000_000)
        clamped_us = min(max(duration_us, _MIN_DURATION_US), _MAX_DURATION_US)
        durations.histogram.record_value(clamped_us)
        durations.sum_s += duration_s
        durations.count += 1

    def quantile_s(self, name: str, quantile: float, **labels: object) -> float | None:
        """Return a quantile of a histogram in seconds, None if it has no durations.

        :param name: Name without prefix.
        :param quantile: From 0 to 1.
        """
        durations = self._durations.get(name, {}).get(_sorted_labels(labels))
        if durations is None:
            return None
        value_us = durations.histogram.get_value_at_percentile(quantile * 100)
        return float(value_us) / 1_000_000

    def render(self) -> str:
        """Format all metrics in the Prometheus text format."""
        lines: list[str] = []
        for kind, families in (("counter", self._counters), ("gauge", self._gauges)):
            for name, values in sorted(families.items()):
                lines += self._header_lines(name, kind)
                lines += [_sample(name, key, each) for key, each in values.items()]
        for name, family in sorted(self._durations.items()):
            lines += self._header_lines(name, "summary")
            for labels, durations in family.items():
                lines += _summary(name, labels, durations)
        return "".join(f"{line}\n" for line in lines)

    def _header_lines(self, name: str, kind: str) -> Iterator[str]:
        text = self._help_by_name.get(name)
        if text:
            escaped = text.replace("\\", "\\\\").replace("\n", "\\n")
            yield f"# HELP {_PREFIX}{name} {escaped}"
        yield f"# TYPE {_PREFIX}{name} {kind}"


def _get_or_create_family(families: dict[str, dict[_LabelSet, Any]], name: str) -> Any:
    family = families.get(name)
    if family is None:
        if not _NAME.match(name):
            raise ValueError(f"{name!r} is not a metric name")
        family = families[name] = {}
    return family


def _bounded_label_set(
    family: Mapping[_LabelSet, object], labels: Mapping[str, object], *, limit: int
) -> _LabelSet:
    key = _sorted_labels(labels)
    return key if key in family or len(family) < limit else _OVERFLOW_LABELS


def _sorted_labels(labels: Mapping[str, object]) -> _LabelSet:
    return tuple(sorted((name, str(value)) for name, value in labels.items()))


def _summary(name: str, labels: _LabelSet, durations: _Durations) -> Iterator[str]:
    for quantile in _QUANTILES:
        value_us = durations.histogram.get_value_at_percentile(quantile * 100)
        quantile_labels = (*labels, ("quantile", f"{quantile:g}"))
        yield _sample(name, quantile_labels, value_us / 1_000_000)
    yield _sample(f"{name}_sum", labels, durations.sum_s)
    yield _sample(f"{name}_count", labels, durations.count)


def _sample(name: str, labels: _LabelSet, value: float) -> str:
    pairs = ",".join(f'{key}="{_escape(text)}"' for key, text in labels)
    return f"{_PREFIX}{name}{{{pairs}}} {value:.12g}"


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
