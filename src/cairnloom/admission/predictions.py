"""Predicted output lengths, by class and team, corrected by what came."""

import collections

FIRST_GUESS_TOKENS = 64.0
WEIGHT = 0.2
LARGEST_TABLE = 8192


class OutputLengthPredictor:
    """A moving mean of answer lengths, bounded in number."""

    def __init__(self) -> None:
        self._means: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def predict(self, class_name: str, team: str) -> float:
        """Return the expected tokens of an answer."""
        mean = self._means.get((class_name, team))
        if mean is None:
            mean = self._means.get((class_name, ''))
        return FIRST_GUESS_TOKENS if mean is None else mean

    def note(self, class_name: str, team: str, tokens: int) -> None:
        """Correct the means with an answer that was whole."""
        for key in ((class_name, team), (class_name, '')):
            mean = self._means.get(key, float(tokens))
            self._means[key] = mean + WEIGHT * (tokens - mean)
            self._means.move_to_end(key)
        while len(self._means) > LARGEST_TABLE:
            self._means.popitem(last=False)
