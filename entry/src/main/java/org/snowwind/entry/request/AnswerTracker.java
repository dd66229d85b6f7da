package org.snowwind.entry.request;

/**
 * Follows one attempt's answer on its way to the caller.
 *
 * <p>
 * Each attempt has a tracker of its own, so that nothing that an attempt left unfinished
 * can get into the answer of the next one.
 */
interface AnswerTracker {

	/** No bytes. */
	byte[] NOTHING = new byte[0];

	/**
	 * Takes bytes from the back end.
	 * @param bytes the bytes
	 * @return what may go to the caller now
	 */
	byte[] take(byte[] bytes);

	/**
	 * Tells whether everything that belongs to the answer has come, by what it says
	 * itself.
	 * @return true if nothing is missing
	 */
	boolean complete();

	/**
	 * Tells whether a clean end of the transfer is a whole answer.
	 * @return true if it is
	 */
	boolean wholeAtEnd();

	/**
	 * Counts the bytes that are held back because they are not a whole line yet.
	 * @return a number of bytes
	 */
	int tornBytes();

	/**
	 * Tells whether another server can continue the answer where this one breaks off.
	 * @return true if it can
	 */
	boolean resumable();

	/**
	 * Returns where the answer would be continued.
	 * @return a token's place
	 */
	int resumeAt();

}
