"""Plays the same days on two trees, and prints what differs between them.

Run by hand, for each change of a policy. Both trees are checkouts of this
repository beside each other. Each pair of plays has the same site, day and
seed, and its two plays start one after the other, so that both meet the same
load of this machine. Reports are kept in the output folder; a play whose
report is there is not repeated, so that an interrupted run can be continued.

    python scripts/compare_trees.py --bench PATH --out reports \
        --before ../before --after ../after \
        --sites a.toml,b.toml --days quiet-1,trouble-1 --seeds 1,2,3
"""

import concurrent.futures
import dataclasses
import itertools
import json
import pathlib
import statistics
import subprocess
from typing import Any
from typing import Iterator

from absl import app
from absl import flags

BENCH = flags.DEFINE_string('bench', None, 'path of the test bench')
BEFORE = flags.DEFINE_string('before', None, 'tree without the change')
AFTER = flags.DEFINE_string('after', None, 'tree with the change')
OUT = flags.DEFINE_string('out', None, 'folder of the reports')
SITES = flags.DEFINE_list('sites', None, 'site files')
DAYS = flags.DEFINE_list('days', None, 'names of days')
SEEDS = flags.DEFINE_list('seeds', ['standard'], 'seeds, or "standard"')
JOBS = flags.DEFINE_integer('jobs', 3, 'plays at the same time', 1)
WHY = flags.DEFINE_string('why', '', 'note for the journal')
flags.mark_flags_as_required(
    ['bench', 'before', 'after', 'out', 'sites', 'days']
)

# A difference of the worth of a time window is printed from this size on.
MIN_WINDOW_DIFFERENCE = 0.05
# A price is printed if it differs by this much.
MIN_PRICE_DIFFERENCE = 0.0005
SERVED_COUNTS = ('n', 'in_aim', 'late', 'refused', 'failed')
# A report of a play that was given up has no figures to compare.
GIVEN_UP = 'given up'

Report = dict[str, Any]


@dataclasses.dataclass(frozen=True)
class Play:
    """A day that is played on one tree."""

    tree: pathlib.Path
    site: pathlib.Path
    day: str
    seed: str

    @property
    def label(self) -> str:
        """Return the name of the pair that the play belongs to."""
        return '%s %s %s' % (self.site.stem, self.day, self.seed)

    def find_report(self, folder: pathlib.Path) -> pathlib.Path:
        """Return the path of the report."""
        day = pathlib.Path(self.day).stem
        name = '%s-%s-%s.json' % (self.site.stem, day, self.seed)
        return folder.resolve() / self.tree.resolve().name / name


def list_pairs() -> Iterator[tuple[Play, Play]]:
    """Return the pairs of plays, first without and then with the change."""
    for seed, site, day in itertools.product(
        SEEDS.value, SITES.value, DAYS.value
    ):
        before, after = (
            Play(pathlib.Path(tree), pathlib.Path(site).resolve(), day, seed)
            for tree in (BEFORE.value, AFTER.value)
        )
        yield before, after


def run_play(play: Play, folder: pathlib.Path) -> Report | None:
    """Play a day unless its report exists; return the report.

    Returns None if the bench gave the day up.
    """
    path = play.find_report(folder)
    if not path.exists():
        path.parent.mkdir(parents=True, exist_ok=True)
        partial_path = path.with_suffix('.partial')
        command = [
            str(pathlib.Path(BENCH.value).resolve()),
            'run',
            str(play.site),
            play.day,
            '--report',
            str(partial_path),
        ]
        if play.seed != 'standard':
            command += ['--seed', play.seed]
        if WHY.value:
            command += ['--why', WHY.value]
        with path.with_suffix('.txt').open('w') as output:
            subprocess.run(
                command,
                cwd=play.tree,
                stdout=output,
                stderr=subprocess.STDOUT,
                check=False,
            )
        if not partial_path.exists():
            return None
        partial_path.rename(path)
    report: Report = json.loads(path.read_text())
    return None if report.get('fault') else report


def describe(differences: list[float]) -> str:
    """Return the mean of some differences, and its standard error.

    >>> describe([0.1, 0.3])
    '+0.200 +-0.100'
    """
    mean = statistics.fmean(differences)
    if len(differences) < 2:
        return '%+.3f' % mean
    error = statistics.stdev(differences) / len(differences) ** 0.5
    return '%+.3f +-%.3f' % (mean, error)


def list_figures(report: Report) -> dict[str, float]:
    """Return the figures of a report by name; those of requests as shares."""
    figures = {
        name: report[key]
        for name, key in [
            ('worth', 'G'),
            ('served', 'served'),
            ('refused', 'refused'),
            ('failed', 'failed'),
        ]
    }
    for part, _, value in report['parts']:
        figures['part: %s' % part] = value
    for price, _, value in report['prices']:
        figures['price: %s' % price] = value
    for kind in report['classes']:
        for name in SERVED_COUNTS[1:]:
            figures['%s %s' % (kind['name'], name)] = kind[name] / max(
                1, kind['n']
            )
    return figures


def print_windows(label: str, before: Report, after: Report) -> None:
    """Print the time windows of a pair in which the worth differs."""
    for old, new in zip(before['windows'], after['windows'], strict=False):
        if abs(new['worth'] - old['worth']) < MIN_WINDOW_DIFFERENCE:
            continue
        counts = ' '.join(
            '%s %d>%d' % (name, old[name], new[name]) for name in SERVED_COUNTS
        )
        print(
            '  %s from %ss: %.2f>%.2f %s'
            % (label, old['name'], old['worth'], new['worth'], counts)
        )


def print_comparison(pairs: list[tuple[str, Report, Report]]) -> None:
    """Print the figures of each pair, and the mean differences of all."""
    for label, before, after in pairs:
        print(
            '%-40s worth %.3f > %.3f  refused %.3f > %.3f  failed %.3f > %.3f'
            '  %s'
            % (
                label,
                before['G'],
                after['G'],
                before['refused'],
                after['refused'],
                before['failed'],
                after['failed'],
                'BROKEN %s' % after['breaks'] if after['breaks'] else '',
            )
        )
    differences: dict[str, list[float]] = {}
    for _, before, after in pairs:
        old_figures = list_figures(before)
        for name, value in list_figures(after).items():
            if name in old_figures:
                differences.setdefault(name, []).append(
                    value - old_figures[name]
                )
    print('mean difference of %d pairs, with its standard error' % len(pairs))
    for name, values in differences.items():
        if (
            name.startswith('price: ')
            and abs(statistics.fmean(values)) < MIN_PRICE_DIFFERENCE
        ):
            continue
        print('  %-44s %s' % (name, describe(values)))
    print('windows whose worth differs')
    for label, before, after in pairs:
        print_windows(label, before, after)


def main(argv: list[str]) -> None:
    """Play all pairs and print the comparison."""
    folder = pathlib.Path(OUT.value)
    pairs = list(list_pairs())
    with concurrent.futures.ThreadPoolExecutor(JOBS.value) as executor:
        pending = [
            [executor.submit(run_play, play, folder) for play in pair]
            for pair in pairs
        ]
        completed = []
        for pair, futures in zip(pairs, pending, strict=True):
            before, after = (future.result() for future in futures)
            if before is None or after is None:
                print('%s: %s' % (pair[0].label, GIVEN_UP))
            else:
                completed.append((pair[0].label, before, after))
    if completed:
        print_comparison(completed)


if __name__ == '__main__':
    app.run(main)
