package org.snowwind.decide.admission;

/**
 * Allows retries as a fraction of recent first attempts.
 *
 * <p>
 * When everything fails, the retries of an organisation add at most the fraction to its
 * load, plus a small constant that lets a quiet organisation retry at all.
 */
public final class RetryBudget {

	private final double fraction;

	private final double most;

	private double balance;

	/**
	 * Creates a budget that starts full.
	 * @param fraction retries per first attempt
	 * @param most the most retries that can be saved up
	 */
	public RetryBudget(double fraction, double most) {
		this.fraction = fraction;
		this.most = most;
		this.balance = most;
	}

	/**
	 * Takes note of a first attempt.
	 */
	public void firstAttempt() {
		this.balance = Math.min(this.most, this.balance + this.fraction);
	}

	/**
	 * Tells whether a retry is allowed.
	 * @return true if it is
	 */
	public boolean allows() {
		return this.balance >= 1;
	}

	/**
	 * Takes note of a retry.
	 */
	public void retried() {
		this.balance -= 1;
	}

}
