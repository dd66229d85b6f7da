package org.snowwind.balance.plan;

import java.util.function.IntPredicate;

/**
 * One change of a layer's placement that relieves its hottest rank.
 *
 * @param expert the expert that gets a replica on the cold rank
 * @param hot the rank that is relieved
 * @param cold the rank that takes it
 * @param leavesHot whether the expert leaves the hot rank
 * @param displaced the expert that leaves the cold rank to make room, -1 for none
 * @param displacedGoesHot whether the displaced expert goes to the hot rank
 */
record Change(int expert, int hot, int cold, boolean leavesHot, int displaced, boolean displacedGoesHot) {

	private static final int NONE = -1;

	private static final double TINY = 1e-12;

	int moves() {
		return this.displacedGoesHot ? 2 : 1;
	}

	void apply(LayerPlacement placement) {
		if (this.displaced != NONE) {
			placement.remove(this.displaced, this.cold);
		}
		if (this.leavesHot) {
			placement.remove(this.expert, this.hot);
		}
		if (this.displacedGoesHot) {
			placement.add(this.displaced, this.hot);
		}
		placement.add(this.expert, this.cold);
	}

	/**
	 * Finds the change that leaves the two ranks it touches lowest, for each move.
	 * @param placement the layer
	 * @return the change, {@code null} if none relieves the hottest rank
	 */
	static Change bestFor(LayerPlacement placement) {
		return bestFor(placement, (rank) -> true);
	}

	/**
	 * Finds the change that leaves the two ranks it touches lowest, for each move, where
	 * not every rank may take another expert.
	 * @param placement the layer
	 * @param mayTake whether a rank may take an expert that it does not hold
	 * @return the change, {@code null} if none relieves the hottest rank
	 */
	static Change bestFor(LayerPlacement placement, IntPredicate mayTake) {
		int hot = placement.hottestRank();
		Search search = new Search(placement, hot, mayTake.test(hot));
		for (int expert : placement.expertsOn(hot)) {
			for (int cold = 0; cold < placement.ranks(); cold++) {
				if (cold != hot && !placement.holds(expert, cold) && mayTake.test(cold)) {
					search.consider(expert, cold);
				}
			}
		}
		return search.best;
	}

	/**
	 * A replica that leaves a rank: the expert's other replicas take over its share.
	 *
	 * @param expert the expert, {@link #NONE} for nobody
	 * @param share what it takes off the rank it leaves
	 * @param extraOnHot what the hot rank takes over of it
	 * @param highestOther the highest load of the other ranks that take over
	 */
	private record Leaving(int expert, double share, double extraOnHot, double highestOther) {

		private static final Leaving NOBODY = new Leaving(NONE, 0, 0, 0);

		private static Leaving of(LayerPlacement placement, int expert, int from, int hot) {
			int replicas = placement.replicas(expert);
			double share = placement.shareOf(expert);
			double extra = share / (replicas - 1);
			double highest = 0;
			for (int rank = 0; rank < placement.ranks(); rank++) {
				if (rank != from && rank != hot && placement.holds(expert, rank)) {
					highest = Math.max(highest, placement.load(rank) + extra);
				}
			}
			return new Leaving(expert, share, placement.holds(expert, hot) ? extra : 0, highest);
		}

	}

	private static final class Search {

		private final LayerPlacement placement;

		private final int hot;

		private final boolean hotMayTake;

		private final double hotLoad;

		private Change best;

		private double bestRelief = TINY;

		private Search(LayerPlacement placement, int hot, boolean hotMayTake) {
			this.placement = placement;
			this.hot = hot;
			this.hotMayTake = hotMayTake;
			this.hotLoad = placement.load(hot);
		}

		private void consider(int expert, int cold) {
			if (!this.placement.full(cold)) {
				considerMove(expert, cold, Leaving.NOBODY);
				considerReplica(expert, cold, Leaving.NOBODY);
				return;
			}
			for (int displaced : this.placement.expertsOn(cold)) {
				if (this.hotMayTake && !this.placement.holds(displaced, this.hot)) {
					considerSwap(expert, cold, displaced);
				}
				if (this.placement.replicas(displaced) > 1) {
					Leaving leaving = Leaving.of(this.placement, displaced, cold, this.hot);
					considerMove(expert, cold, leaving);
					considerReplica(expert, cold, leaving);
				}
			}
		}

		private void considerMove(int expert, int cold, Leaving leaving) {
			double share = this.placement.shareOf(expert);
			double hotAfter = this.hotLoad - share + leaving.extraOnHot();
			double coldAfter = this.placement.load(cold) + share - leaving.share();
			offer(new Change(expert, this.hot, cold, true, leaving.expert(), false), hotAfter,
					Math.max(coldAfter, leaving.highestOther()));
		}

		private void considerReplica(int expert, int cold, Leaving leaving) {
			int replicas = this.placement.replicas(expert);
			double before = this.placement.shareOf(expert);
			double after = before * replicas / (replicas + 1);
			double hotAfter = this.hotLoad - before + after + leaving.extraOnHot();
			double coldAfter = this.placement.load(cold) + after - leaving.share();
			offer(new Change(expert, this.hot, cold, false, leaving.expert(), false), hotAfter,
					Math.max(coldAfter, leaving.highestOther()));
		}

		private void considerSwap(int expert, int cold, int displaced) {
			double share = this.placement.shareOf(expert);
			double displacedShare = this.placement.shareOf(displaced);
			offer(new Change(expert, this.hot, cold, true, displaced, true), this.hotLoad - share + displacedShare,
					this.placement.load(cold) + share - displacedShare);
		}

		private void offer(Change change, double hotAfter, double othersAfter) {
			double relief = (this.hotLoad - Math.max(hotAfter, othersAfter)) / change.moves();
			if (relief > this.bestRelief) {
				this.bestRelief = relief;
				this.best = change;
			}
		}

	}

}
