"""The speed of a service's engines, learned from the requests they run.

Input to every estimate of the time to a first event. Engines differ by an
order of magnitude between deployments and nothing states their speed, so it is
measured: the load patterns that need it are long prompts with a short target,
for which an estimate that is too high refuses work that engines could do.
"""

import dataclasses

# Assumed prefill time until requests have been measured: a fixed overhead in
# seconds, and a rate in tokens per second.
INITIAL_PREFILL_OVERHEAD_SECONDS = 0.055
INITIAL_PREFILL_RATE = 40000.0
# Assumed overhead in seconds if decode and prefill run on different engines.
INITIAL_HANDOVER_SECONDS = 0.03
# Prompt length in tokens that the assumed prefill time is a sample of.
_INITIAL_TOKENS = 8000
# How many samples the assumed prefill time weighs as much as.
_INITIAL_WEIGHT = 4.0
# The weight of old samples is multiplied by this with each new one.
_KEPT_WEIGHT = 0.97
# A sample counts as no less and no more than these multiples of the expected
# time, so that a single outlier has little effect.
_MIN_SAMPLE = 0.25
_MAX_SAMPLE = 2.0
# Bounds of the learned rate in tokens per second.
_MIN_PREFILL_RATE = 1000.0
_MAX_PREFILL_RATE = 1e7
# Weight of one sample in the learned handover time.
_HANDOVER_WEIGHT = 0.05
# A host takes over what another one has learned from this many times as many
# requests. Hosts that both learn don't disturb each other.
_MIN_SAMPLE_RATIO = 2


@dataclasses.dataclass(frozen=True)
class SpeedReport:
    """What a host has learned about the speed of the engines.

    ``samples`` is the number of requests that it was learned from.
    """

    samples: int
    prefill_overhead: float
    prefill_rate: float
    handover: float


class EngineSpeed:
    """Learns how long prefills and handovers take on idle engines.

    The time of a prefill is a fixed overhead plus a time for each token. Both
    are fitted to recent samples by weighted least squares.

    >>> speed = EngineSpeed()
    >>> for number in range(200):
    ...     tokens = 1000 + 50 * number
    ...     speed.note_prefill(tokens, 0.005 + tokens / 200000)
    >>> round(speed.prefill_overhead, 3), round(speed.prefill_rate, -3)
    (0.005, 200000.0)
    """

    def __init__(self) -> None:
        self.samples = 0
        self.prefill_overhead = INITIAL_PREFILL_OVERHEAD_SECONDS
        self.prefill_rate = INITIAL_PREFILL_RATE
        self.handover = INITIAL_HANDOVER_SECONDS
        self._fit = _LineFit()
        self._restart_fit()

    def estimate_prefill(self, tokens: float) -> float:
        """Estimate the seconds of a prefill on an engine that is idle."""
        return self.prefill_overhead + tokens / self.prefill_rate

    def note_prefill(self, tokens: int, seconds: float) -> None:
        """Learn from a prefill that had an engine to itself."""
        if tokens <= 0 or seconds <= 0:
            return
        expected_seconds = self.estimate_prefill(tokens)
        seconds = min(
            max(seconds, _MIN_SAMPLE * expected_seconds),
            _MAX_SAMPLE * expected_seconds,
        )
        self._fit.add(tokens, seconds)
        self.samples += 1
        overhead, seconds_per_token = self._fit.solve()
        self.prefill_rate = min(
            max(1.0 / max(seconds_per_token, 1e-9), _MIN_PREFILL_RATE),
            _MAX_PREFILL_RATE,
        )
        self.prefill_overhead = overhead

    def note_handover(self, seconds: float) -> None:
        """Learn from a handover; ``seconds`` excludes its transfer."""
        seconds = min(
            max(seconds, _MIN_SAMPLE * self.handover),
            _MAX_SAMPLE * self.handover,
        )
        self.handover += _HANDOVER_WEIGHT * (seconds - self.handover)

    def make_report(self) -> SpeedReport | None:
        """Return what was learned, None if nothing was."""
        if not self.samples:
            return None
        return SpeedReport(
            self.samples,
            self.prefill_overhead,
            self.prefill_rate,
            self.handover,
        )

    def adopt(self, report: SpeedReport) -> None:
        """Take over what another host has learned from far more requests.

        A host that has learned little itself, because it just started or
        because it places no work, then estimates as well as the other host.
        """
        if report.samples <= _MIN_SAMPLE_RATIO * self.samples:
            return
        self.samples = report.samples
        self.prefill_overhead = report.prefill_overhead
        self.prefill_rate = report.prefill_rate
        self.handover = report.handover
        self._restart_fit()

    def _restart_fit(self) -> None:
        self._fit = _LineFit()
        for tokens in (0, _INITIAL_TOKENS):
            self._fit.add(
                tokens, self.estimate_prefill(tokens), _INITIAL_WEIGHT / 2
            )


class _LineFit:
    """A line through recent points, by weighted least squares."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._x = 0.0
        self._y = 0.0
        self._xx = 0.0
        self._xy = 0.0

    def add(self, x: float, y: float, weight: float = 1.0) -> None:
        """Add a point, and let the older ones fade."""
        self._weight = self._weight * _KEPT_WEIGHT + weight
        self._x = self._x * _KEPT_WEIGHT + weight * x
        self._y = self._y * _KEPT_WEIGHT + weight * y
        self._xx = self._xx * _KEPT_WEIGHT + weight * x * x
        self._xy = self._xy * _KEPT_WEIGHT + weight * x * y

    def solve(self) -> tuple[float, float]:
        """Return the height at zero, not negative, and the slope."""
        variance = self._weight * self._xx - self._x * self._x
        slope = 0.0
        if variance > 0:
            slope = (self._weight * self._xy - self._x * self._y) / variance
        height = (self._y - slope * self._x) / self._weight
        if height < 0 or slope <= 0:
            # Such a line would pass below zero; the best one through it is
            # proportional to x.
            return 0.0, self._xy / self._xx
        return height, slope
