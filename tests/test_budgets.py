"""The shared retry budget: all hosts together stay within it."""

import random

from hypothesis import given
from hypothesis import strategies

from cairnloom.admission import budgets

SETTINGS = budgets.RetryBudgetSettings(share=0.2, slack=54.0, window=10.0)


@given(
    hosts=strategies.integers(1, 12),
    per_second=strategies.integers(1, 80),
    seed=strategies.integers(0, 1000),
)
def test_all_hosts_together_stay_within_the_budget(hosts, per_second, seed):
    random_source = random.Random(seed)
    all_budgets = [budgets.SharedRetryBudget(SETTINGS) for _ in range(hosts)]
    requests, retries = [], []
    now = 0.0
    while now < 25.0:
        now += random_source.expovariate(per_second)
        budget = random_source.choice(all_budgets)
        budget.note_request(now)
        requests.append(now)
        for _ in range(3):
            if budget.take(now, hosts):
                retries.append(now)
    for start in range(0, 16):
        retry_count = sum(start <= at < start + 10 for at in retries)
        # The budget may be based on the requests of the window itself, of the
        # window before it, or of one that starts half a window before it,
        # whichever has the most requests.
        request_count = max(
            sum(start - shift <= at < start - shift + 10 for at in requests)
            for shift in (0, 5, 10)
        )
        assert retry_count <= SETTINGS.share * request_count + SETTINGS.slack


def test_budget_grows_again_with_time():
    budget = budgets.SharedRetryBudget(
        budgets.RetryBudgetSettings(0.0, 5.0, 10.0)
    )
    taken = [budget.take(0.0, 1) for _ in range(6)]
    assert taken.count(True) == 4
    assert not budget.take(9.0, 1)
    assert budget.take(10.1, 1)
