//! Admission: slots, classes, duplicate detection, deadlines and retry budgets.
