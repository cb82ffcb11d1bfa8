//! Retry budgets, back-off and deadlines.
