package org.snowwind.http.client;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Collects a whole answer with status 200; anything else counts as lost.
 */
public final class WholeAnswer implements UpstreamListener {

	private static final int OK = 200;

	private final Consumer<byte[]> whenWhole;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private int status;

	/**
	 * Creates the listener.
	 * @param whenWhole gets the body on the loop
	 */
	public WholeAnswer(Consumer<byte[]> whenWhole) {
		this.whenWhole = whenWhole;
	}

	@Override
	public void onHead(int answerStatus, Map<String, String> headers) {
		this.status = answerStatus;
	}

	@Override
	public void onBytes(byte[] bytes) {
		this.body.writeBytes(bytes);
	}

	@Override
	public void onEnd() {
		if (this.status == OK) {
			this.whenWhole.accept(this.body.toByteArray());
		}
	}

	@Override
	public void onFailure(boolean maybeSent, Throwable cause) {
		// Lost; whoever asked asks again.
	}

}
