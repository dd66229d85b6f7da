/**
 * Admission control: rate limits, concurrency limits, fair queueing and retry budgets.
 */
package org.snowwind.decide.admission;
