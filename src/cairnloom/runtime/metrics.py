"""Counters and latency histograms of a process, as text for scraping.

The admin listener serves them under ``/metrics``.
"""

from hdrh import histogram

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 3600 * 1000 * 1000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """All counters, gauges and timers of one process."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = {}
        self._timers: dict[tuple[str, Labels], histogram.HdrHistogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increase a counter by an amount."""
        key = (name, tuple(sorted(labels.items())))
        self._counters[key] = self._counters.get(key, 0) + amount

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge, a value that can also decrease."""
        self._counters[(name, tuple(sorted(labels.items())))] = value

    def time(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in the timer of this name."""
        key = (name, tuple(sorted(labels.items())))
        timer = self._timers.get(key)
        if timer is None:
            timer = histogram.HdrHistogram(
                MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS
            )
            self._timers[key] = timer
        timer.record_value(max(MIN_MICROSECONDS, int(seconds * 1e6)))

    def value(self, name: str, **labels: str) -> float:
        """Return the value of a counter or gauge, 0 if it was never set."""
        return self._counters.get((name, tuple(sorted(labels.items()))), 0)

    def quantile(self, name: str, percentile: float, **labels: str) -> float:
        """Return a percentile (0 to 100) of a timer, in seconds.

        Returns 0 if nothing was recorded.
        """
        timer = self._timers.get((name, tuple(sorted(labels.items()))))
        if timer is None or timer.get_total_count() == 0:
            return 0.0
        return timer.get_value_at_percentile(percentile) / 1e6

    def render(self) -> str:
        """Return all metrics as lines of name, labels and value."""
        lines = [
            'cairnloom_%s%s %g' % (name, _render_labels(labels), value)
            for (name, labels), value in sorted(self._counters.items())
        ]
        for (name, labels), timer in sorted(
            self._timers.items(), key=lambda timer_entry: timer_entry[0]
        ):
            lines.extend(_render_timer(name, labels, timer))
        return '\n'.join(lines) + '\n'


def _render_labels(labels: Labels) -> str:
    if not labels:
        return ''
    return '{%s}' % ','.join('%s="%s"' % label for label in labels)


def _render_timer(
    name: str, labels: Labels, timer: histogram.HdrHistogram
) -> list[str]:
    lines = []
    for percentile in QUANTILES:
        quantile_labels = labels + (('quantile', '%g' % (percentile / 100)),)
        seconds = timer.get_value_at_percentile(percentile) / 1e6
        lines.append(
            'cairnloom_%s_seconds%s %g'
            % (name, _render_labels(quantile_labels), seconds)
        )
    count = timer.get_total_count()
    lines.append(
        'cairnloom_%s_seconds_count%s %d'
        % (name, _render_labels(labels), count)
    )
    return lines
