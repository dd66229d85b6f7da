package org.snowwind.entry.burn;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.WriteResult;

/**
 * Keeps this entry's counts in the platform, one object an hour, so that a replaced VM
 * loses at most what it counted since its last write.
 */
public final class BurnWriter {

	/** Below this prefix the platform keeps counts. */
	public static final String PREFIX = "burn/";

	private static final long MINUTES_PER_HOUR = 60;

	private static final int MAX_HOURS_WAITING = 4;

	private final ObjectStore store;

	private final String dataCentre;

	private final String writerName;

	private final TreeMap<Long, Hour> hours = new TreeMap<>();

	/**
	 * Creates a writer.
	 * @param store the platform
	 * @param dataCentre the entry's data centre
	 * @param writerName the entry's name and incarnation, so that a replaced VM of the
	 * same name writes an object of its own
	 */
	public BurnWriter(ObjectStore store, String dataCentre, String writerName) {
		this.store = store;
		this.dataCentre = dataCentre;
		this.writerName = writerName;
	}

	/**
	 * Adds counts and writes what has not been written.
	 * @param lines the counts
	 * @param minuteNow minutes since the epoch; it counts as observed even without
	 * requests
	 */
	public void write(List<BurnLine> lines, long minuteNow) {
		hourOf(minuteNow).observe(minuteNow);
		lines.forEach((line) -> hourOf(line.minute()).add(line));
		for (Map.Entry<Long, Hour> hour : new ArrayList<>(this.hours.entrySet())) {
			boolean written = hour.getValue().dirty ? put(hour.getKey(), hour.getValue()) : true;
			boolean over = hour.getKey() < minuteNow / MINUTES_PER_HOUR;
			if (written && over) {
				this.hours.remove(hour.getKey());
			}
		}
		while (this.hours.size() > MAX_HOURS_WAITING) {
			this.hours.pollFirstEntry();
		}
	}

	private Hour hourOf(long minute) {
		return this.hours.computeIfAbsent(minute / MINUTES_PER_HOUR, (number) -> new Hour());
	}

	private boolean put(long number, Hour hour) {
		String key = PREFIX + this.dataCentre + "/" + this.writerName + "/" + number;
		JsonNode value = Json.MAPPER
			.valueToTree(new BurnDocument(this.dataCentre, new ArrayList<>(hour.minutes), hour.lines()));
		WriteResult result = this.store.put(key, hour.revision, value);
		return result.match(new WriteResult.Cases<>((revision) -> hour.written(revision),
				(revision) -> hour.adoptRevision(revision), (reason) -> false,
				(reason) -> hour.uncertain(this.store, key)));
	}

	private static final class Hour {

		private final Map<BurnLine, Long> counts = new HashMap<>();

		private final TreeSet<Long> minutes = new TreeSet<>();

		private EraRevision revision = EraRevision.NONE;

		private boolean dirty;

		private void observe(long minute) {
			this.dirty |= this.minutes.add(minute);
		}

		private void add(BurnLine line) {
			observe(line.minute());
			BurnLine key = new BurnLine(line.minute(), line.organisation(), line.target(), line.cause(), 0);
			this.counts.merge(key, line.count(), Long::sum);
			this.dirty = true;
		}

		private List<BurnLine> lines() {
			List<BurnLine> lines = new ArrayList<>();
			this.counts.forEach((key, count) -> lines
				.add(new BurnLine(key.minute(), key.organisation(), key.target(), key.cause(), count)));
			return lines;
		}

		private boolean written(EraRevision newRevision) {
			this.revision = newRevision;
			this.dirty = false;
			return true;
		}

		// Only this writer writes the object, so what stands there is a write of ours
		// whose
		// answer was lost; the next write goes on top of it.
		private boolean adoptRevision(EraRevision current) {
			this.revision = current;
			return false;
		}

		private boolean uncertain(ObjectStore store, String key) {
			store.get(key)
				.match((object) -> adoptRevision(object.revision()), () -> adoptRevision(EraRevision.NONE),
						(reason) -> false);
			return false;
		}

	}

}
