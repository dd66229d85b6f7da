package org.snowwind.gateway.table;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Remembers which entries cannot be decoded, so that each is logged once for each reason,
 * however often it is written. Only one thread may change it; any thread may call
 * {@link #count()}.
 */
public final class UnreadableEntries {

	/**
	 * The maximum number of entries that are remembered. Further ones are neither
	 * remembered nor logged, so that a writer that invents names cannot fill the memory
	 * or the log of the readers.
	 */
	static final int MAX_ENTRIES = 200;

	/**
	 * The maximum length of entry names and reasons, in characters; longer ones are
	 * truncated.
	 */
	private static final int MAX_LOGGED_CHARS = 120;

	private final Event event;

	private final String nameField;

	private final Map<String, String> reasonsByEntry = new ConcurrentHashMap<>();

	/**
	 * Creates an instance that remembers no entries.
	 * @param event logged for each entry and reason
	 * @param nameField the field of the log line that has the name of the entry
	 */
	public UnreadableEntries(Event event, String nameField) {
		this.event = event;
		this.nameField = nameField;
	}

	/**
	 * Records an entry that cannot be decoded, and logs it if the reason is new.
	 * @param name the name of the entry
	 * @param reason why it cannot be decoded
	 */
	public void recordUnreadable(String name, String reason) {
		String key = truncate(name);
		String loggedReason = truncate(reason);
		boolean hasCapacity = this.reasonsByEntry.containsKey(key) || this.reasonsByEntry.size() < MAX_ENTRIES;
		if (hasCapacity && !loggedReason.equals(this.reasonsByEntry.put(key, loggedReason))) {
			EventLog.log(this.event, this.nameField, key, "reason", loggedReason);
		}
	}

	/**
	 * Removes an entry that can be decoded again or no longer exists.
	 * @param name the name of the entry
	 */
	public void clear(String name) {
		this.reasonsByEntry.remove(truncate(name));
	}

	/**
	 * Removes the entries that no longer exist.
	 * @param names the names of all existing entries
	 */
	public void retainOnly(Collection<String> names) {
		this.reasonsByEntry.keySet()
			.retainAll(names.stream().map(UnreadableEntries::truncate).collect(Collectors.toSet()));
	}

	/**
	 * Returns the number of remembered entries.
	 * @return the number of entries that cannot be decoded, at most {@value #MAX_ENTRIES}
	 */
	public int count() {
		return this.reasonsByEntry.size();
	}

	private static String truncate(String text) {
		return (text.length() > MAX_LOGGED_CHARS) ? text.substring(0, MAX_LOGGED_CHARS) : text;
	}

}
