"""The shared retry budget: all hosts together stay within it."""

import random

from hypothesis import given
from hypothesis import strategies

from cairnloom.admission import budgets

SETTINGS = budgets.RetryBudgetSettings(share=0.2, slack=54.0, window=10.0)


@given(
    host_count=strategies.integers(1, 12),
    per_second=strategies.integers(1, 80),
    seed=strategies.integers(0, 1000),
)
def test_all_hosts_together_stay_within_the_budget(
    host_count, per_second, seed
):
    random_source = random.Random(seed)
    all_budgets = [
        budgets.SharedRetryBudget(SETTINGS) for _ in range(host_count)
    ]
    request_times, retry_times = [], []
    now = 0.0
    while now < 25.0:
        now += random_source.expovariate(per_second)
        budget = random_source.choice(all_budgets)
        budget.note_request(now)
        request_times.append(now)
        for _ in range(3):
            if budget.take(now, host_count):
                retry_times.append(now)
    for window_start in range(0, 16):
        retry_count = sum(
            window_start <= sent_at < window_start + 10
            for sent_at in retry_times
        )
        # The budget may be based on the requests of the window itself, of the
        # window before it, or of one that starts half a window before it,
        # whichever has the most requests.
        request_count = max(
            sum(
                window_start - shift <= sent_at < window_start - shift + 10
                for sent_at in request_times
            )
            for shift in (0, 5, 10)
        )
        assert retry_count <= SETTINGS.share * request_count + SETTINGS.slack


def test_budget_grows_again_with_time():
    budget = budgets.SharedRetryBudget(
        budgets.RetryBudgetSettings(0.0, 5.0, 10.0)
    )
    take_results = [budget.take(0.0, 1) for _ in range(6)]
    assert take_results.count(True) == 4
    assert not budget.take(9.0, 1)
    assert budget.take(10.1, 1)
