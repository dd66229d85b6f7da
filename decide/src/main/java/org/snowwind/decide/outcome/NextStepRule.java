package org.snowwind.decide.outcome;

/**
 * Rule that decides the next step of the requests to which it applies.
 */
@FunctionalInterface
public interface NextStepRule {

	/**
	 * Decides the next step if this rule applies.
	 * @param context the state of the request after the attempt
	 * @return the step, or {@link NextStep#NOT_APPLICABLE} if this rule does not apply
	 */
	NextStep decide(RetryContext context);

}
