package org.snowwind.balance.plan;

import java.util.function.IntPredicate;

/**
 * Change to the placement of a layer that relieves its hottest rank.
 *
 * @param expert the expert that is placed on the cold rank
 * @param hot the rank that is relieved
 * @param cold the rank on which the expert is placed
 * @param removedFromHot whether the expert is removed from the hot rank
 * @param displaced the expert that is removed from the cold rank to free its slot, -1 for
 * none
 * @param displacedMovesToHot whether the displaced expert is placed on the hot rank
 */
record Change(int expert, int hot, int cold, boolean removedFromHot, int displaced, boolean displacedMovesToHot) {

	private static final int NONE = -1;

	private static final double MIN_RELIEF = 1e-12;

	int moves() {
		return this.displacedMovesToHot ? 2 : 1;
	}

	void apply(LayerPlacement placement) {
		if (this.displaced != NONE) {
			placement.remove(this.displaced, this.cold);
		}
		if (this.removedFromHot) {
			placement.remove(this.expert, this.hot);
		}
		if (this.displacedMovesToHot) {
			placement.add(this.displaced, this.hot);
		}
		placement.add(this.expert, this.cold);
	}

	/**
	 * Finds the change with the highest relief of the hottest rank per move, where the
	 * load of the other affected ranks limits the relief.
	 * @param placement the layer
	 * @return the change, {@code null} if none relieves the hottest rank
	 */
	static Change bestFor(LayerPlacement placement) {
		return bestFor(placement, (rank) -> true);
	}

	/**
	 * Finds the change with the highest relief of the hottest rank per move, where the
	 * load of the other affected ranks limits the relief. Ranks can be excluded as
	 * receivers.
	 * @param placement the layer
	 * @param mayReceive whether a rank may receive an expert that it does not hold
	 * @return the change, {@code null} if none relieves the hottest rank
	 */
	static Change bestFor(LayerPlacement placement, IntPredicate mayReceive) {
		int hot = placement.hottestRank();
		Search search = new Search(placement, hot, mayReceive.test(hot));
		for (int expert : placement.expertsOn(hot)) {
			for (int cold = 0; cold < placement.ranks(); cold++) {
				if (cold != hot && !placement.holds(expert, cold) && mayReceive.test(cold)) {
					search.consider(expert, cold);
				}
			}
		}
		return search.best;
	}

	/**
	 * Effect of removing a replica from a rank: the other replicas of the expert take
	 * over its share.
	 *
	 * @param expert the expert, {@link #NONE} if no replica is removed
	 * @param share the load that the removal takes off the rank
	 * @param extraOnHot the part of that load that the hot rank takes over
	 * @param highestOther the highest resulting load of the other ranks that take over a
	 * part
	 */
	private record Removal(int expert, double share, double extraOnHot, double highestOther) {

		private static final Removal NO_REMOVAL = new Removal(NONE, 0, 0, 0);

		private static Removal of(LayerPlacement placement, int expert, int from, int hot) {
			int replicas = placement.replicas(expert);
			double share = placement.shareOf(expert);
			double extraShare = share / (replicas - 1);
			double highest = 0;
			for (int rank = 0; rank < placement.ranks(); rank++) {
				if (rank != from && rank != hot && placement.holds(expert, rank)) {
					highest = Math.max(highest, placement.load(rank) + extraShare);
				}
			}
			return new Removal(expert, share, placement.holds(expert, hot) ? extraShare : 0, highest);
		}

	}

	private static final class Search {

		private final LayerPlacement placement;

		private final int hot;

		private final boolean hotMayReceive;

		private final double hotLoad;

		private Change best;

		private double bestRelief = MIN_RELIEF;

		private Search(LayerPlacement placement, int hot, boolean hotMayReceive) {
			this.placement = placement;
			this.hot = hot;
			this.hotMayReceive = hotMayReceive;
			this.hotLoad = placement.load(hot);
		}

		private void consider(int expert, int cold) {
			if (!this.placement.full(cold)) {
				considerMove(expert, cold, Removal.NO_REMOVAL);
				considerReplica(expert, cold, Removal.NO_REMOVAL);
				return;
			}
			for (int displaced : this.placement.expertsOn(cold)) {
				if (this.hotMayReceive && !this.placement.holds(displaced, this.hot)) {
					considerSwap(expert, cold, displaced);
				}
				if (this.placement.replicas(displaced) > 1) {
					Removal removal = Removal.of(this.placement, displaced, cold, this.hot);
					considerMove(expert, cold, removal);
					considerReplica(expert, cold, removal);
				}
			}
		}

		private void considerMove(int expert, int cold, Removal removal) {
			double share = this.placement.shareOf(expert);
			double hotAfter = this.hotLoad - share + removal.extraOnHot();
			double coldAfter = this.placement.load(cold) + share - removal.share();
			keepIfBest(new Change(expert, this.hot, cold, true, removal.expert(), false), hotAfter,
					Math.max(coldAfter, removal.highestOther()));
		}

		private void considerReplica(int expert, int cold, Removal removal) {
			int replicas = this.placement.replicas(expert);
			double before = this.placement.shareOf(expert);
			double after = before * replicas / (replicas + 1);
			double hotAfter = this.hotLoad - before + after + removal.extraOnHot();
			double coldAfter = this.placement.load(cold) + after - removal.share();
			keepIfBest(new Change(expert, this.hot, cold, false, removal.expert(), false), hotAfter,
					Math.max(coldAfter, removal.highestOther()));
		}

		private void considerSwap(int expert, int cold, int displaced) {
			double share = this.placement.shareOf(expert);
			double displacedShare = this.placement.shareOf(displaced);
			keepIfBest(new Change(expert, this.hot, cold, true, displaced, true), this.hotLoad - share + displacedShare,
					this.placement.load(cold) + share - displacedShare);
		}

		private void keepIfBest(Change change, double hotAfter, double othersAfter) {
			double relief = (this.hotLoad - Math.max(hotAfter, othersAfter)) / change.moves();
			if (relief > this.bestRelief) {
				this.bestRelief = relief;
				this.best = change;
			}
		}

	}

}
