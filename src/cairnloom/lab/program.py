"""Entry point of the simulator: runs load patterns and prints the results."""

import importlib
import pathlib
import sys

from absl import app
from absl import flags

import cairnloom

from . import fleet
from . import patterns

EXIT_BAD_PATTERN = 2
# Time in seconds between two points of a plot.
PLOT_SECONDS = 1.0

_SEEDS = flags.DEFINE_integer(
    'seeds', 3, 'Number of runs for each pattern, with seeds from 1.'
)
_DESKS = flags.DEFINE_integer(
    'desks', None, 'Number of schedulers; 1: one host places for all hosts.'
)
_PLOT = flags.DEFINE_string('plot', None, 'File to write a plot over time to.')
_VERSION = flags.DEFINE_bool('version', False, 'Print the version and exit.')

_HEADER = '%-18s %5s %8s %8s %8s %6s %6s %7s %7s %8s %7s %6s' % (
    'pattern',
    'seed',
    'goodput',
    'answered',
    'refused',
    'left',
    'lost',
    'p50 s',
    'p95 s',
    'k again',
    'changes',
    'held',
)


def run() -> None:
    """Run the program."""
    app.run(_main)


def _main(arguments: list[str]) -> int:
    if _VERSION.value:
        print(cairnloom.__version__)
        return 0
    if len(arguments) < 2:
        print('usage: cairnloom-lab PATTERN...', file=sys.stderr)
        return EXIT_BAD_PATTERN
    chosen_patterns = []
    for name in arguments[1:]:
        load_result = patterns.load(pathlib.Path(name))
        if load_result.is_error():
            print('%s: %s' % (name, load_result.error), file=sys.stderr)
            return EXIT_BAD_PATTERN
        pattern = load_result.ok
        if _DESKS.value is not None:
            pattern = pattern.model_copy(update={'desks': _DESKS.value})
        chosen_patterns.append(pattern)
    print(_HEADER)
    results = [
        (
            pattern,
            [
                run_pattern(pattern, seed)
                for seed in range(1, _SEEDS.value + 1)
            ],
        )
        for pattern in chosen_patterns
    ]
    if _PLOT.value is not None:
        _plot(results, _PLOT.value)
    return 0


def run_pattern(pattern: patterns.LoadPattern, seed: int) -> fleet.LoadResult:
    """Run a pattern once and print a line of results."""
    simulated_fleet = fleet.SimulatedFleet(pattern, seed)
    result = simulated_fleet.run(patterns.draw(pattern, seed))
    waits = sorted(
        outcome.wait for outcome in result.outcomes if outcome.wait is not None
    )
    print(
        '%-18s %5d %8.3f %8d %8d %6d %6d %7.3f %7.3f %8d %7d %6d'
        % (
            pattern.name,
            seed,
            result.goodput(),
            result.count('answered'),
            result.count('refused'),
            result.count('left'),
            result.count('lost'),
            _find_quantile(waits, 0.5),
            _find_quantile(waits, 0.95),
            result.repeated_tokens // 1000,
            result.role_changes,
            result.held_up,
        )
    )
    return result


def _find_quantile(sorted_values: list[float], share: float) -> float:
    if not sorted_values:
        return 0.0
    return sorted_values[
        min(len(sorted_values) - 1, int(share * len(sorted_values)))
    ]


def _plot(
    results: list[tuple[patterns.LoadPattern, list[fleet.LoadResult]]],
    path: str,
) -> None:
    # Imported only here, since matplotlib is installed for development only.
    figure = importlib.import_module('matplotlib.figure')
    combined_figure = figure.Figure(figsize=(9, 2.5 * len(results)))
    axes = combined_figure.subplots(len(results), 1, squeeze=False)
    for (pattern, runs), (axis,) in zip(results, axes, strict=True):
        times = range(int(pattern.seconds / PLOT_SECONDS))
        for series in ('offered', 'in time', 'refused'):
            counts = [0.0] * len(times)
            for request_outcome in (
                recorded_outcome
                for result in runs
                for recorded_outcome in result.outcomes
            ):
                is_in_series = {
                    'offered': True,
                    'in time': request_outcome.is_in_time,
                    'refused': request_outcome.outcome == 'refused',
                }
                index = min(
                    int(request_outcome.arrived_at / PLOT_SECONDS),
                    len(times) - 1,
                )
                counts[index] += is_in_series[series] / len(runs)
            axis.plot(times, counts, label=series)
        axis.set_title(pattern.name)
        axis.set_ylabel('requests/s')
        axis.legend(loc='lower right')
    combined_figure.tight_layout()
    combined_figure.savefig(path)
