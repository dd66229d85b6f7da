package org.snowwind.standin;

/**
 * What is wrong with a stand-in engine.
 *
 * @param stalled whether steps have stopped
 * @param breakAfterTokens break each stream after so many of its tokens, 0 for never
 * @param breaks how many streams are broken so before the engine behaves again
 */
public record EngineFaults(boolean stalled, int breakAfterTokens, int breaks) {

	/** Nothing is wrong. */
	public static final EngineFaults NONE = new EngineFaults(false, 0, 0);

}
