package org.snowwind.entry.request;

/**
 * An answer whose end is known by its transfer alone.
 */
final class PlainAnswer implements AnswerTracker {

	@Override
	public byte[] take(byte[] bytes) {
		return bytes;
	}

	@Override
	public boolean complete() {
		return false;
	}

	@Override
	public boolean wholeAtEnd() {
		return true;
	}

	@Override
	public int tornBytes() {
		return 0;
	}

	@Override
	public boolean resumable() {
		return false;
	}

	@Override
	public int resumeAt() {
		return 0;
	}

}
