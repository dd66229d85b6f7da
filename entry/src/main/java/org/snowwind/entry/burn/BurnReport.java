package org.snowwind.entry.burn;

import java.util.List;
import java.util.Map;

/**
 * The burn of every organisation and target.
 *
 * @param minuteNow minutes since the epoch when it was made
 * @param gapMinutes how many minutes of the last hour nobody observed
 * @param rows one for each organisation and target
 */
public record BurnReport(long minuteNow, int gapMinutes, List<Row> rows) {

	/**
	 * The burn of one organisation and target.
	 *
	 * @param organisation the organisation
	 * @param target the name of the service or model group
	 * @param targetShare the share that should be good
	 * @param attainedShare the share that was good in three days
	 * @param budgetLeftShare how much of the three days' budget is left; below 0 it is
	 * overdrawn
	 * @param burns the burn by window
	 * @param alert the state of the alert
	 * @param topCauses counts of the most frequent causes in three days
	 * @param worstDataCentre the data centre with the greatest share of bad requests
	 * @param lastHour for each of the last sixty minutes the share of bad requests, -1
	 * for a gap
	 */
	public record Row(String organisation, String target, double targetShare, double attainedShare,
			double budgetLeftShare, Map<String, Double> burns, String alert, Map<String, Long> topCauses,
			String worstDataCentre, List<Double> lastHour) {

	}

}
