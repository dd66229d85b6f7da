package org.snowwind.decide.admission;

/**
 * Allows retries as a fraction of recent first attempts.
 *
 * <p>
 * When all attempts fail, the retries of an organisation add at most this fraction to its
 * load, plus a small constant that allows retries to an organisation with few requests.
 */
public final class RetryBudget {

	private final double fraction;

	private final double maxBalance;

	private double balance;

	/**
	 * Creates a budget that starts full.
	 * @param fraction retries per first attempt
	 * @param maxBalance the most unused retries that are saved
	 */
	public RetryBudget(double fraction, double maxBalance) {
		this.fraction = fraction;
		this.maxBalance = maxBalance;
		this.balance = maxBalance;
	}

	/**
	 * Records a first attempt.
	 */
	public void recordFirstAttempt() {
		this.balance = Math.min(this.maxBalance, this.balance + this.fraction);
	}

	/**
	 * Returns whether a retry is allowed.
	 * @return true if the budget has a retry left
	 */
	public boolean allows() {
		return this.balance >= 1;
	}

	/**
	 * Records a retry.
	 */
	public void recordRetry() {
		this.balance -= 1;
	}

}
