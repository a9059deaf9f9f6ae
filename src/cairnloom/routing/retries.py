"""A budget that keeps retries a small share of the successes."""

import dataclasses

SHARE_OF_SUCCESSES = 0.1
LARGEST_BUDGET = 10.0
COST = 1.0
MAX_ATTEMPTS = 3


@dataclasses.dataclass
class RetryBudget:
    """Grows with every success and shrinks with every retry.

    >>> budget = RetryBudget(left=1.0)
    >>> budget.take(), budget.take()
    (True, False)
    """

    left: float = LARGEST_BUDGET

    def note_success(self) -> None:
        """Earn a share of a retry."""
        self.left = min(LARGEST_BUDGET, self.left + SHARE_OF_SUCCESSES)

    def take(self) -> bool:
        """Spend a retry if the budget has one."""
        if self.left < COST:
            return False
        self.left -= COST
        return True
