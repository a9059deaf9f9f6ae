"""Numbers in headers, as clients, endpoints and services send them."""

import math


def parse_quantity(text: str) -> float | None:
    """Return a number that is finite and not negative, None for other texts.

    >>> parse_quantity('1.5'), parse_quantity('-1'), parse_quantity('soon')
    (1.5, None, None)
    """
    try:
        quantity = float(text)
    except ValueError:
        return None
    return quantity if math.isfinite(quantity) and quantity >= 0 else None
