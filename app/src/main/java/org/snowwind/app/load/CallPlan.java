package org.snowwind.app.load;

/**
 * What one call asks for.
 *
 * @param kind its kind
 * @param model the model's name
 * @param service the plain service's name
 * @param maxTokens how many tokens are wanted
 * @param promptChars how long the prompt is
 * @param budgetMillis the time it may take, in milliseconds
 */
public record CallPlan(CallKind kind, String model, String service, int maxTokens, int promptChars, long budgetMillis) {

	/**
	 * Returns the same plan of another kind.
	 * @param other the kind
	 * @return a new plan
	 */
	public CallPlan as(CallKind other) {
		return new CallPlan(other, this.model, this.service, this.maxTokens, this.promptChars, this.budgetMillis);
	}

}
