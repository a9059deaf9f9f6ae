"""The reporter: seals usage windows and sends their figures, once."""
