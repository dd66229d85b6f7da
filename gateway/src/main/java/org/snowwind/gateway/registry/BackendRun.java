package org.snowwind.gateway.registry;

/**
 * One life of a backend server: from a start to its end.
 *
 * <p>
 * A server may start again under its id. It then holds nothing of before: no map, no
 * prepared experts, no order, no request. So all that is believed of a server belongs to
 * one life of it.
 *
 * @param id the server's id
 * @param bornMillis when it was started, in Unix milliseconds by its own clock;
 * {@link #UNKNOWN} if it does not say
 */
public record BackendRun(String id, long bornMillis) {

	/** The start of a server that does not say when it was. */
	public static final long UNKNOWN = 0;

	/**
	 * Names a server of which it is not known when it was started.
	 * @param id the server's id
	 * @return whichever life it has
	 */
	public static BackendRun of(String id) {
		return new BackendRun(id, UNKNOWN);
	}

	/**
	 * Tells whether two may be the same life. Clocks step, so that a later life may have
	 * the earlier start: any other start is another life.
	 * @param other the other
	 * @return false if the ids differ or both say different starts
	 */
	public boolean mayBe(BackendRun other) {
		return this.id.equals(other.id)
				&& (this.bornMillis == other.bornMillis || this.bornMillis == UNKNOWN || other.bornMillis == UNKNOWN);
	}

}
