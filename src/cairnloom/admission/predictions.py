"""Predicted output lengths, by class and team.

Used to estimate the work of a request before it is queued. Learned from the
lengths of complete answers.
"""

import collections

# Predicted length of an answer, in tokens, until an answer of its class has
# been completed.
INITIAL_TOKENS = 64.0
SAMPLE_WEIGHT = 0.2
MAX_MEANS = 8192


class OutputLengthPredictor:
    """A moving mean of answer lengths for each class and team."""

    def __init__(self) -> None:
        self._means: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def predict(self, class_name: str, team: str) -> float:
        """Return the expected length of an answer, in tokens."""
        mean = self._means.get((class_name, team))
        if mean is None:
            mean = self._means.get((class_name, ''))
        return INITIAL_TOKENS if mean is None else mean

    def record_length(self, class_name: str, team: str, tokens: int) -> None:
        """Update the means with the length of a complete answer, in tokens."""
        for key in ((class_name, team), (class_name, '')):
            mean = self._means.get(key, float(tokens))
            self._means[key] = mean + SAMPLE_WEIGHT * (tokens - mean)
            self._means.move_to_end(key)
        while len(self._means) > MAX_MEANS:
            self._means.popitem(last=False)
