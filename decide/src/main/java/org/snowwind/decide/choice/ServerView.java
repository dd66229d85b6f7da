package org.snowwind.decide.choice;

/**
 * State of a server as known to the process that chooses one.
 *
 * @param name the name of the server
 * @param sameDataCentre whether the server is in the same data centre as the chooser
 * @param ownInFlight how many requests of the chooser are in flight to it
 * @param reportedLoad running and queued requests according to its last report,
 * discounted by the age of the report
 * @param concurrencyLimit how many requests the server runs at once
 * @param slowStartFactor a fraction below 1 during slow start, otherwise 1
 */
public record ServerView(String name, boolean sameDataCentre, int ownInFlight, double reportedLoad,
		int concurrencyLimit, double slowStartFactor) {

	/**
	 * Returns the load of the server relative to its capacity, for comparison with
	 * others. The request that is to be sent is counted.
	 * @return 1 if the server would then have as many requests as it runs at once
	 */
	public double loadRatio() {
		double load = Math.max(this.ownInFlight, this.reportedLoad) + 1;
		return load / Math.max(1, this.concurrencyLimit) / Math.max(0.01, this.slowStartFactor);
	}

}
