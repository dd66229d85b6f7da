package org.snowwind.gateway.registry;

/**
 * One incarnation of a backend server: from a start of its process to the end of it.
 *
 * <p>
 * A server may restart under the same id. It then has lost its state: its map, its
 * prepared experts, its orders and its requests. Everything that is known about a server
 * therefore applies to one incarnation only.
 *
 * @param id the server's id
 * @param bornMillis the start time of the server, in Unix milliseconds by its own clock;
 * {@link #UNKNOWN} if it does not report one
 */
public record BackendIncarnation(String id, long bornMillis) {

	/** The start time of a server that does not report one. */
	public static final long UNKNOWN = 0;

	/**
	 * Returns an incarnation of a server whose start time is not known.
	 * @param id the server's id
	 * @return an incarnation with an unknown start time, which may be any one of the
	 * server
	 */
	public static BackendIncarnation of(String id) {
		return new BackendIncarnation(id, UNKNOWN);
	}

	/**
	 * Returns whether this and another may be the same incarnation. Clocks may be set
	 * back, so a later incarnation may have the earlier start time. Any two different
	 * known start times therefore mean different incarnations, but do not show which one
	 * is later.
	 * @param other the other incarnation
	 * @return false if the ids differ, or if both start times are known and differ
	 */
	public boolean mayEqual(BackendIncarnation other) {
		return this.id.equals(other.id)
				&& (this.bornMillis == other.bornMillis || this.bornMillis == UNKNOWN || other.bornMillis == UNKNOWN);
	}

}
