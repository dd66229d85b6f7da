package org.snowwind.entry.burn;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.decide.burn.BurnAlert;
import org.snowwind.decide.burn.BurnWindow;
import org.snowwind.decide.burn.RequestCounts;
import org.snowwind.model.resource.OrganisationSpec;
import org.snowwind.model.resource.ServiceLevel;

/**
 * Makes the report out of all entries' counts.
 */
public final class BurnReporter {

	private static final int LAST_MINUTES = 60;

	private static final int TOP_CAUSES = 3;

	private static final double GAP = -1;

	private final Snapshot snapshot;

	private final long minuteNow;

	private final Set<Long> observed = new HashSet<>();

	private final Map<RowKey, List<Counted>> lines = new TreeMap<>(
			Comparator.comparing(RowKey::organisation).thenComparing(RowKey::target));

	/**
	 * Creates a reporter.
	 * @param snapshot knows what was promised
	 * @param minuteNow minutes since the epoch
	 */
	public BurnReporter(Snapshot snapshot, long minuteNow) {
		this.snapshot = snapshot;
		this.minuteNow = minuteNow;
	}

	/**
	 * Takes in one entry's counts of one hour.
	 * @param document the counts
	 */
	public void add(BurnDocument document) {
		this.observed.addAll(document.minutes());
		for (BurnLine line : document.lines()) {
			RowKey key = new RowKey(line.organisation(), line.target());
			this.lines.computeIfAbsent(key, (absent) -> new ArrayList<>())
				.add(new Counted(document.dataCentre(), line));
		}
	}

	/**
	 * Makes the report.
	 * @return the report
	 */
	public BurnReport report() {
		List<BurnReport.Row> rows = new ArrayList<>();
		this.lines.forEach((key, counted) -> rows.add(row(key, counted)));
		int gaps = 0;
		for (long minute = this.minuteNow - LAST_MINUTES; minute < this.minuteNow; minute++) {
			gaps += this.observed.contains(minute) ? 0 : 1;
		}
		return new BurnReport(this.minuteNow, gaps, rows);
	}

	private BurnReport.Row row(RowKey key, List<Counted> counted) {
		ServiceLevel level = this.snapshot.organisation(key.organisation())
			.map(OrganisationSpec::serviceLevel)
			.orElse(ServiceLevel.DEFAULT);
		Map<BurnWindow, Double> burns = new EnumMap<>(BurnWindow.class);
		for (BurnWindow window : BurnWindow.values()) {
			burns.put(window, tally(counted, window.minutes()).burnRate(level.targetShare()));
		}
		RequestCounts whole = tally(counted, BurnWindow.THREE_DAYS.minutes());
		Map<String, Double> labelled = new LinkedHashMap<>();
		burns.forEach((window, burn) -> labelled.put(window.label(), burn));
		return new BurnReport.Row(key.organisation(), key.target(), level.targetShare(), 1 - whole.badShare(),
				1 - whole.burnRate(level.targetShare()), labelled, BurnAlert.of(burns).name(), topCauses(counted),
				worstDataCentre(counted), lastHour(counted));
	}

	private RequestCounts tally(List<Counted> counted, int minutes) {
		long since = this.minuteNow - minutes;
		return counted.stream()
			.filter((one) -> one.line().minute() > since)
			.map(Counted::tally)
			.reduce(RequestCounts.NONE, RequestCounts::plus);
	}

	private static Map<String, Long> topCauses(List<Counted> counted) {
		Map<String, Long> causes = new TreeMap<>();
		counted.stream()
			.filter((one) -> !BurnLine.GOOD.equals(one.line().cause()))
			.forEach((one) -> causes.merge(one.line().cause(), one.line().count(), Long::sum));
		Map<String, Long> top = new LinkedHashMap<>();
		causes.entrySet()
			.stream()
			.sorted((left, right) -> Long.compare(right.getValue(), left.getValue()))
			.limit(TOP_CAUSES)
			.forEach((cause) -> top.put(cause.getKey(), cause.getValue()));
		return top;
	}

	private static String worstDataCentre(List<Counted> counted) {
		Map<String, RequestCounts> byPlace = new TreeMap<>();
		counted.forEach((one) -> byPlace.merge(one.dataCentre(), one.tally(), RequestCounts::plus));
		return byPlace.entrySet()
			.stream()
			.max(Comparator.comparingDouble((place) -> place.getValue().badShare()))
			.filter((place) -> place.getValue().bad() > 0)
			.map(Map.Entry::getKey)
			.orElse("");
	}

	private List<Double> lastHour(List<Counted> counted) {
		Map<Long, RequestCounts> byMinute = new TreeMap<>();
		counted.forEach((one) -> byMinute.merge(one.line().minute(), one.tally(), RequestCounts::plus));
		List<Double> shares = new ArrayList<>();
		for (long minute = this.minuteNow - LAST_MINUTES + 1; minute <= this.minuteNow; minute++) {
			boolean known = this.observed.contains(minute);
			shares.add(known ? byMinute.getOrDefault(minute, RequestCounts.NONE).badShare() : GAP);
		}
		return shares;
	}

	private record RowKey(String organisation, String target) {
	}

	private record Counted(String dataCentre, BurnLine line) {

		private RequestCounts tally() {
			boolean good = BurnLine.GOOD.equals(this.line.cause());
			return good ? new RequestCounts(this.line.count(), 0) : new RequestCounts(0, this.line.count());
		}

	}

}
