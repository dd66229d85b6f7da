package org.snowwind.gateway.registry;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Remembers which entries cannot be read, so that each is logged once for each reason,
 * however often it is written. One thread changes it, any may count.
 */
final class UnreadableEntries {

	/**
	 * So many entries are remembered, and beyond them none is logged: a writer that makes
	 * up names must not fill the memory or the log of those who read.
	 */
	static final int MOST = 200;

	/** Names of entries and reasons are cut to so many characters in the log. */
	private static final int MOST_CHARS = 120;

	private final Map<String, String> reasonsByName = new ConcurrentHashMap<>();

	/**
	 * Takes note of an entry that cannot be read.
	 * @param name its name
	 * @param reason why
	 */
	void unreadable(String name, String reason) {
		String key = cut(name);
		String told = cut(reason);
		boolean room = this.reasonsByName.containsKey(key) || this.reasonsByName.size() < MOST;
		if (room && !told.equals(this.reasonsByName.put(key, told))) {
			EventLog.log(Event.SERVER_UNREADABLE, "server", key, "reason", told);
		}
	}

	/**
	 * Takes note of an entry that can be read or is gone.
	 * @param name its name
	 */
	void readable(String name) {
		this.reasonsByName.remove(cut(name));
	}

	/**
	 * Forgets all entries but those that there are.
	 * @param names the names of all entries
	 */
	void retain(Collection<String> names) {
		this.reasonsByName.keySet().retainAll(names.stream().map(UnreadableEntries::cut).collect(Collectors.toSet()));
	}

	/**
	 * Counts the entries.
	 * @return how many cannot be read, {@value #MOST} at most
	 */
	int count() {
		return this.reasonsByName.size();
	}

	private static String cut(String text) {
		return (text.length() > MOST_CHARS) ? text.substring(0, MOST_CHARS) : text;
	}

}
