package org.snowwind.balance.plan;

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
		int hot = placement.hottestRank();
		Search search = new Search(placement, hot);
		for (int expert : placement.expertsOn(hot)) {
			for (int cold = 0; cold < placement.ranks(); cold++) {
				if (cold != hot && !placement.holds(expert, cold)) {
					search.consider(expert, cold);
				}
			}
		}
		return search.best;
	}

	private static final class Search {

		private final LayerPlacement placement;

		private final int hot;

		private final double hotLoad;

		private Change best;

		private double bestRelief = TINY;

		private Search(LayerPlacement placement, int hot) {
			this.placement = placement;
			this.hot = hot;
			this.hotLoad = placement.load(hot);
		}

		private void consider(int expert, int cold) {
			if (!this.placement.full(cold)) {
				considerMove(expert, cold, NONE, 0);
				considerReplica(expert, cold, NONE, 0);
				return;
			}
			for (int displaced : this.placement.expertsOn(cold)) {
				double share = this.placement.shareOf(displaced);
				if (!this.placement.holds(displaced, this.hot)) {
					considerSwap(expert, cold, displaced, share);
				}
				if (this.placement.replicas(displaced) > 1) {
					considerMove(expert, cold, displaced, share);
					considerReplica(expert, cold, displaced, share);
				}
			}
		}

		private void considerMove(int expert, int cold, int displaced, double displacedShare) {
			double share = this.placement.shareOf(expert);
			double hotAfter = this.hotLoad - share + extraOnHot(displaced);
			offer(new Change(expert, this.hot, cold, true, displaced, false), hotAfter,
					this.placement.load(cold) + share - displacedShare);
		}

		private void considerReplica(int expert, int cold, int displaced, double displacedShare) {
			int replicas = this.placement.replicas(expert);
			double before = this.placement.shareOf(expert);
			double after = before * replicas / (replicas + 1);
			double hotAfter = this.hotLoad - before + after + extraOnHot(displaced);
			offer(new Change(expert, this.hot, cold, false, displaced, false), hotAfter,
					this.placement.load(cold) + after - displacedShare);
		}

		// A displaced expert's other replicas take over its share, on the hot rank
		// perhaps.
		private double extraOnHot(int displaced) {
			if (displaced == NONE || !this.placement.holds(displaced, this.hot)) {
				return 0;
			}
			int replicas = this.placement.replicas(displaced);
			return this.placement.shareOf(displaced) / (replicas - 1);
		}

		private void considerSwap(int expert, int cold, int displaced, double displacedShare) {
			double share = this.placement.shareOf(expert);
			offer(new Change(expert, this.hot, cold, true, displaced, true), this.hotLoad - share + displacedShare,
					this.placement.load(cold) + share - displacedShare);
		}

		private void offer(Change change, double hotAfter, double coldAfter) {
			double relief = (this.hotLoad - Math.max(hotAfter, coldAfter)) / change.moves();
			if (relief > this.bestRelief) {
				this.bestRelief = relief;
				this.best = change;
			}
		}

	}

}
