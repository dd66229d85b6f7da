package org.snowwind.http.client;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Collects a whole answer with status 200; anything else counts as lost.
 */
public final class WholeAnswer implements UpstreamListener {

	private static final int OK = 200;

	private final int maxBytes;

	private final Consumer<byte[]> whenWhole;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final CompletableFuture<UpstreamCall> call = new CompletableFuture<>();

	private int status;

	private WholeAnswer(int maxBytes, Consumer<byte[]> whenWhole) {
		this.maxBytes = maxBytes;
		this.whenWhole = whenWhole;
	}

	/**
	 * Sends a request and collects the answer.
	 * @param client the client
	 * @param request the request
	 * @param maxBytes the largest body, in bytes; a larger one is lost, and its
	 * connection is closed at once
	 * @param whenWhole gets the body on the loop
	 */
	public static void collect(UpstreamClient client, UpstreamRequest request, int maxBytes,
			Consumer<byte[]> whenWhole) {
		WholeAnswer answer = new WholeAnswer(maxBytes, whenWhole);
		answer.call.complete(client.send(request, answer));
	}

	@Override
	public void onHead(int answerStatus, Map<String, String> headers) {
		this.status = answerStatus;
	}

	@Override
	public void onBytes(byte[] bytes) {
		if (this.body.size() + bytes.length > this.maxBytes) {
			this.call.thenAccept(UpstreamCall::cancel);
			return;
		}
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
