package org.snowwind.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A position in the history of the platform's store.
 *
 * <p>
 * The store numbers its changes. If it is restored from an older copy of itself, it loses
 * its last changes, gives out their numbers again, and begins a new era. Numbers of
 * different eras therefore cannot be compared.
 *
 * @param era the era, also 0 for a store that reports none
 * @param number the number of the change, 0 for the position before the first one
 */
public record EraRevision(long era, long number) {

	/**
	 * The position before all changes. As the expected revision of a write it means that
	 * the object must not exist.
	 */
	public static final EraRevision NONE = new EraRevision(0, 0);

	/** Enough for 400 changes a second over five years. */
	private static final int NUMBER_BITS = 36;

	private static final long MAX_NUMBER = (1L << NUMBER_BITS) - 1;

	private static final long MAX_ERA = Long.MAX_VALUE >> NUMBER_BITS;

	/**
	 * Checks the ranges.
	 * @throws IllegalArgumentException if a value is negative or too large
	 */
	public EraRevision {
		if (era < 0 || era > MAX_ERA || number < 0 || number > MAX_NUMBER) {
			throw new IllegalArgumentException("expected era 0 to " + MAX_ERA + " and number 0 to " + MAX_NUMBER
					+ ", got era " + era + " and number " + number);
		}
	}

	/**
	 * Decodes a revision.
	 * @param encoded the value of {@link #toLong()}
	 * @return the revision
	 * @throws IllegalArgumentException if the value is negative
	 */
	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public static EraRevision ofLong(long encoded) {
		return new EraRevision(encoded >> NUMBER_BITS, encoded & MAX_NUMBER);
	}

	/**
	 * Returns the newer of two positions.
	 * @param one a position
	 * @param other another position
	 * @return the one of the later era or, within an era, of the later change
	 */
	public static EraRevision newest(EraRevision one, EraRevision other) {
		return other.isNewerThan(one) ? other : one;
	}

	/**
	 * Encodes the revision, so that a newer position has a higher value. Without an era
	 * the value is the number.
	 * @return the encoded revision
	 */
	@JsonValue
	public long toLong() {
		return (this.era << NUMBER_BITS) | this.number;
	}

	/**
	 * Returns whether this is the position before all changes.
	 * @return true if no change has this position
	 */
	public boolean isNone() {
		return this.number == 0;
	}

	/**
	 * Returns whether this position was reached after another one. It need not include
	 * the changes up to the other one, which are lost if the era is an earlier one.
	 * @param other the other position
	 * @return true if the era is later, or the change within the same era
	 */
	public boolean isNewerThan(EraRevision other) {
		return (this.era != other.era) ? this.era > other.era : this.number > other.number;
	}

	/**
	 * Returns whether a copy that is complete up to this position includes a change.
	 * @param other the position of the change
	 * @return true if the change is of the same era and not later
	 */
	public boolean includes(EraRevision other) {
		return this.era == other.era && this.number >= other.number;
	}

	/**
	 * Returns the era and the number, or only the number in era 0.
	 * @return for example {@code 2.74}
	 */
	@Override
	public String toString() {
		return (this.era == 0) ? Long.toString(this.number) : this.era + "." + this.number;
	}

}
