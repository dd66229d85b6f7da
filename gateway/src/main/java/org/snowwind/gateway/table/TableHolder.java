package org.snowwind.gateway.table;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Holds the table in force and rejects tables that are not newer.
 */
public final class TableHolder {

	private final List<Consumer<RouteTable>> listeners = new CopyOnWriteArrayList<>();

	private final UnreadableEntries unusableOrganisations = new UnreadableEntries(Event.ORGANISATION_UNUSABLE,
			"organisation");

	private volatile RouteTable current = RouteTable.NONE;

	/**
	 * Returns the table in force.
	 * @return the table, {@link RouteTable#NONE} before the first one
	 */
	public RouteTable current() {
		return this.current;
	}

	/**
	 * Registers a listener for newer tables.
	 * @param listener called on the thread that offers the table
	 */
	public void onChange(Consumer<RouteTable> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Puts a table in force if it is newer than the current one.
	 * @param table the table
	 * @param source where the table came from, for the log
	 * @return true if the table was put in force
	 */
	public synchronized boolean offer(RouteTable table, String source) {
		if (table.version() <= this.current.version()) {
			return false;
		}
		long before = this.current.version();
		this.current = table;
		EventLog.log(Event.TABLE_APPLIED, "version", table.version(), "before", before, "routes", table.routes(),
				"source", source);
		List<String> outOfRange = table.priorities().outOfRange();
		if (!outOfRange.isEmpty()) {
			EventLog.log(Event.PRIORITIES_OUT_OF_RANGE, "version", table.version(), "count", outOfRange.size(), "first",
					outOfRange.get(0));
		}
		report(table.accessFaults());
		this.listeners.forEach((listener) -> listener.accept(table));
		return true;
	}

	private void report(List<AccessFault> faults) {
		this.unusableOrganisations.retainOnly(faults.stream().map(AccessFault::organisation).toList());
		faults.forEach((fault) -> this.unusableOrganisations.recordUnreadable(fault.organisation(), fault.reason()));
	}

	/**
	 * Returns how many organisations of the table in force cannot send requests, or not
	 * with all their keys.
	 * @return the number of organisations, at most {@value UnreadableEntries#MAX_ENTRIES}
	 */
	public int unusableOrganisationCount() {
		return this.unusableOrganisations.count();
	}

}
