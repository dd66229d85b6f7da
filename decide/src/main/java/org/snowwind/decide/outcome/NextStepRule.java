package org.snowwind.decide.outcome;

/**
 * One reason for one next step.
 */
@FunctionalInterface
public interface NextStepRule {

	/**
	 * Decides, or has no opinion.
	 * @param situation what is known
	 * @return the step, or {@link NextStep#NO_OPINION}
	 */
	NextStep decide(Situation situation);

}
