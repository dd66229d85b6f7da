package org.snowwind.app.command;

/**
 * Exit codes of all subcommands.
 */
public final class ExitCodes {

	/** Done. */
	public static final int OK = 0;

	/** A promise was broken, a target missed, or a condition not reached in time. */
	public static final int MISSED = 1;

	/** Wrong usage, settings or resources. */
	public static final int INVALID = 2;

	/** Somebody else changed the resource meanwhile. */
	public static final int CONFLICT = 3;

	/** The entry or the platform did not answer. */
	public static final int UNREACHABLE = 4;

	/** The credential was refused. */
	public static final int REFUSED = 5;

	private ExitCodes() {
	}

}
