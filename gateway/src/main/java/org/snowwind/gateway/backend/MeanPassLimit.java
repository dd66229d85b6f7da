package org.snowwind.gateway.backend;

/**
 * Fills a group until its passes take as long as they may on the mean.
 *
 * <p>
 * Load answered: more requests than a group steps in time. Beyond the number at which a
 * pass takes as long as a pause may last, one more request would make all streams of the
 * group late.
 */
final class MeanPassLimit implements GroupLimit {

	/**
	 * The part of the longest pause on time that a pass may take on the mean. A stream is
	 * late by the longest of two dozen passes, and prompts that are read make some of
	 * them longer; but a caller who is turned away is late as well. Played by the load
	 * model over nine loads a request is worth 0.937, with every slot filled 0.898, with
	 * 0.6 of them 0.885, and 0.927 and 0.917 at 0.76 and 0.84.
	 */
	private static final double PASS_SHARE = 0.65;

	/**
	 * At least this part of the slots is always filled: fewer would leave engines idle
	 * because of a pass that was slow for another reason. At 0.4 and 0.7 the load model
	 * gives 0.925 and 0.914.
	 */
	private static final double LEAST_SHARE = 0.55;

	@Override
	public int limit(PassTime passes, Needs needs, long nowMillis) {
		if (!passes.known(nowMillis) || passes.perRequestMillis() <= 0 || needs.pauseTargetMillis() <= 0) {
			return needs.slots();
		}
		double roomMillis = PASS_SHARE * needs.pauseTargetMillis() - needs.emptyPassMillis();
		int limit = (int) (roomMillis / passes.perRequestMillis());
		return Math.max((int) Math.ceil(LEAST_SHARE * needs.slots()), Math.min(needs.slots(), limit));
	}

}
