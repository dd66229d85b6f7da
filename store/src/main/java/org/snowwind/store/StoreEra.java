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

	/** The era of a store that reports none. */
	public static final long UNREPORTED = 0;

	private static final long NOT_SEEN = -1;

	private final AtomicLong newest = new AtomicLong(NOT_SEEN);

	/**
	 * Records the era in a response. Responses may arrive out of order.
	 * @param era the era
	 */
	public void observe(long era) {
		long before = this.newest.getAndAccumulate(era, Math::max);
		if (before != NOT_SEEN && era > before) {
			EventLog.log(Event.STORE_ERA_CHANGED, "eraBefore", before, "era", era);
		}
	}

	/**
	 * Reads the era that a response reports.
	 * @param header the value of the header, {@code null} if there is none
	 * @return the era, {@link #UNREPORTED} if there is none or it is not a number
	 */
	public static long parse(String header) {
		if (header == null) {
			return UNREPORTED;
		}
		try {
			return Math.max(UNREPORTED, Long.parseLong(header.strip()));
		}
		catch (NumberFormatException ex) {
			return UNREPORTED;
		}
	}

}
