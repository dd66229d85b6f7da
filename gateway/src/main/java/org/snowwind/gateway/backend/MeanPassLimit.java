package org.snowwind.gateway.backend;

/**
 * Allows requests until the mean time of a pass reaches its maximum.
 *
 * <p>
 * Handles more requests than a group can serve on time. Above the number at which a pass
 * takes as long as the maximum pause, one more request would make all streams of the
 * group late.
 */
final class MeanPassLimit implements GroupLimit {

	/**
	 * The maximum mean time of a pass, as a fraction of the maximum pause that is on
	 * time. The longest of about two dozen passes decides whether a stream is late, and
	 * reading prompts makes some passes longer. On the other hand, a rejected request is
	 * late as well.
	 */
	private static final double MAX_PASS_SHARE = 0.65;

	/**
	 * The minimum share of the slots that may always be used. A lower minimum would leave
	 * engines idle after a pass that was slow for another reason.
	 */
	private static final double MIN_SLOT_SHARE = 0.55;

	@Override
	public int limit(PassTime passes, Parameters parameters, long nowMillis) {
		if (!passes.isCurrent(nowMillis) || passes.perRequestMillis() <= 0 || parameters.pauseTargetMillis() <= 0) {
			return parameters.slots();
		}
		double budgetMillis = MAX_PASS_SHARE * parameters.pauseTargetMillis() - parameters.emptyPassMillis();
		int limit = (int) (budgetMillis / passes.perRequestMillis());
		return Math.max((int) Math.ceil(MIN_SLOT_SHARE * parameters.slots()), Math.min(parameters.slots(), limit));
	}

}
