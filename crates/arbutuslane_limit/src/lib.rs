//! Admission, slots, queues, rate limits, deadlines and retry budgets.
