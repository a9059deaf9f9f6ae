"""A budget that limits retries to a small share of the successful requests.

The gateway checks it before each retry of a request that may have run.
"""

import dataclasses

RETRIES_PER_SUCCESS = 0.1
MAX_BUDGET = 10.0
RETRY_COST = 1.0
MAX_ATTEMPTS = 3


@dataclasses.dataclass
class RetryBudget:
    """A retry budget: successes add to it, retries take from it.

    >>> budget = RetryBudget(left=1.0)
    >>> budget.take(), budget.take()
    (True, False)
    """

    left: float = MAX_BUDGET

    def note_success(self) -> None:
        """Add a fraction of a retry to the budget."""
        self.left = min(MAX_BUDGET, self.left + RETRIES_PER_SUCCESS)

    def take(self) -> bool:
        """Spend one retry if the budget allows it; return whether it did."""
        if self.left < RETRY_COST:
            return False
        self.left -= RETRY_COST
        return True
