package org.snowwind.entry.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * An engine's answer: a line for each token and a line that says it is done.
 *
 * <p>
 * Only whole lines go to the caller, so that an answer that breaks off can be continued
 * at a line without splicing.
 */
final class EngineAnswer implements AnswerTracker {

	private static final byte LINE_FEED = '\n';

	private static final byte[] DONE = "{\"done\":true".getBytes(StandardCharsets.UTF_8);

	private final ByteArrayOutputStream held = new ByteArrayOutputStream();

	private int lines;

	private boolean done;

	/**
	 * Creates a tracker of an answer that begins or goes on at a line.
	 * @param firstLine how many lines earlier attempts have delivered
	 */
	EngineAnswer(int firstLine) {
		this.lines = firstLine;
	}

	@Override
	public byte[] take(byte[] bytes) {
		int end = lastLineFeed(bytes) + 1;
		if (end == 0) {
			this.held.writeBytes(bytes);
			return NOTHING;
		}
		this.held.write(bytes, 0, end);
		byte[] whole = this.held.toByteArray();
		this.held.reset();
		this.held.write(bytes, end, bytes.length - end);
		countLines(whole);
		return whole;
	}

	private static int lastLineFeed(byte[] bytes) {
		int index = bytes.length - 1;
		while (index >= 0 && bytes[index] != LINE_FEED) {
			index--;
		}
		return index;
	}

	private void countLines(byte[] whole) {
		int start = 0;
		for (int i = 0; i < whole.length; i++) {
			if (whole[i] == LINE_FEED) {
				this.lines++;
				this.done = this.done || startsWithDone(whole, start);
				start = i + 1;
			}
		}
	}

	private static boolean startsWithDone(byte[] whole, int start) {
		if (whole.length - start < DONE.length) {
			return false;
		}
		for (int i = 0; i < DONE.length; i++) {
			if (whole[start + i] != DONE[i]) {
				return false;
			}
		}
		return true;
	}

	@Override
	public boolean complete() {
		return this.done && this.held.size() == 0;
	}

	@Override
	public boolean wholeAtEnd() {
		return complete();
	}

	@Override
	public int tornBytes() {
		return this.held.size();
	}

	@Override
	public boolean resumable() {
		return true;
	}

	@Override
	public int resumeAt() {
		return this.lines;
	}

}
