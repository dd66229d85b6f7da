package org.snowwind.decide.choice;

/**
 * What is known of a server when one is chosen.
 *
 * @param name its name
 * @param sameDataCentre whether it stands in the chooser's data centre
 * @param ownInFlight how many requests of the chooser it has
 * @param reportedLoad running and queued requests by its last report, discounted by age
 * @param concurrencyLimit how many requests it runs at once
 * @param startFactor from 0 to 1 while it is slowly started, then 1
 */
public record ServerView(String name, boolean sameDataCentre, int ownInFlight, double reportedLoad,
		int concurrencyLimit, double startFactor) {

	/**
	 * Returns how full the server is, for comparison.
	 * @return 1 when as many requests are there as it runs at once
	 */
	public double fullness() {
		double load = Math.max(this.ownInFlight, this.reportedLoad) + 1;
		return load / Math.max(1, this.concurrencyLimit) / Math.max(0.01, this.startFactor);
	}

}
