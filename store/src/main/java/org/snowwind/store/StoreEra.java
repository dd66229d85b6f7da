package org.snowwind.store;

import java.util.concurrent.atomic.AtomicLong;

import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * The newest era that the store has reported. Thread-safe.
 *
 * <p>
 * The era rises when the store is restored from an older copy of itself. It then has lost
 * its last changes, and gives out their revisions again.
 */
public final class StoreEra {

	private static final long UNKNOWN = -1;

	private final AtomicLong newest = new AtomicLong(UNKNOWN);

	/**
	 * Records the era in a response. Responses may arrive out of order.
	 * @param header the value of the response's header, {@code null} if it has none
	 * @return the era of the response; without a readable header the newest one
	 */
	public long observe(String header) {
		long era = parse(header);
		if (era == UNKNOWN) {
			return newest();
		}
		long before = this.newest.getAndAccumulate(era, Math::max);
		if (before != UNKNOWN && era > before) {
			EventLog.log(Event.STORE_ERA_CHANGED, "eraBefore", before, "era", era);
		}
		return era;
	}

	/**
	 * Returns the newest era.
	 * @return the era, 0 if the store has reported none
	 */
	public long newest() {
		return Math.max(0, this.newest.get());
	}

	// An unreadable header is treated like a missing one.
	private static long parse(String header) {
		if (header == null) {
			return UNKNOWN;
		}
		try {
			return Math.max(UNKNOWN, Long.parseLong(header.strip()));
		}
		catch (NumberFormatException ex) {
			return UNKNOWN;
		}
	}

}
