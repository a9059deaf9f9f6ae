"""Admission of requests: limits, fair queues and retry budgets."""
