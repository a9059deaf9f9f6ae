"""The reporter program: seals usage windows and reports each of them once."""
