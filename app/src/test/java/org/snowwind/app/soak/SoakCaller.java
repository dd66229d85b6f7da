package org.snowwind.app.soak;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

import org.snowwind.http.DataLoop;
import org.snowwind.http.client.UpstreamClient;
import org.snowwind.http.client.UpstreamListener;
import org.snowwind.http.client.UpstreamRequest;
import org.snowwind.http.client.syntax.ResponseFault;
import org.snowwind.platform.standin.CallerHeaders;

/**
 * Sends requests as callers do, over connections that stay open, and notes what comes.
 */
final class SoakCaller implements AutoCloseable {

	private static final long CONNECT_MILLIS = 1000;

	private final DataLoop loop;

	private final UpstreamClient client;

	private final AtomicLong sent = new AtomicLong();

	private final Queue<Call> calls = new ConcurrentLinkedQueue<>();

	SoakCaller(DataLoop loop) {
		this(loop, UpstreamClient.Connections.KEPT);
	}

	SoakCaller(DataLoop loop, UpstreamClient.Connections connections) {
		this.loop = loop;
		this.client = new UpstreamClient(loop, CONNECT_MILLIS, connections, UpstreamClient.Answers.FRAMED);
	}

	List<Call> calls() {
		return List.copyOf(this.calls);
	}

	/**
	 * Lists what gateways sent that is not valid HTTP.
	 * @return one line a fault, empty if all was valid
	 */
	List<String> malformedResponses() {
		return Arrays.stream(ResponseFault.values())
			.filter((fault) -> this.client.faults().count(fault) > 0)
			.map((fault) -> fault + " " + this.client.faults().count(fault) + " times")
			.toList();
	}

	long open() {
		return this.sent.get() - this.calls.size();
	}

	CompletableFuture<Call> send(SoakGateway gateway, CallKind kind, String key) {
		return send(gateway, kind, key, 0);
	}

	/**
	 * Sends a request.
	 * @param gateway where to
	 * @param kind what kind of request
	 * @param key the caller's key
	 * @param after the last event that a caller has of a stream that it continues, 0 to
	 * begin
	 * @return the request once it has ended
	 */
	CompletableFuture<Call> send(SoakGateway gateway, CallKind kind, String key, int after) {
		return send(gateway, kind, key, after, "", List.of());
	}

	/**
	 * Sends a request again, as a caller that comes back.
	 * @param gateway where to
	 * @param kind what kind of request
	 * @param key the caller's key
	 * @param work the piece of work; its path and body are the same each time
	 * @return the request once it has ended
	 */
	CompletableFuture<Call> sendAgain(SoakGateway gateway, CallKind kind, String key, String work) {
		return send(gateway, kind, key, 0, work, List.of());
	}

	/**
	 * Sends a request whose prompt has parts that other requests may have, too.
	 * @param gateway where to
	 * @param kind what kind of request
	 * @param key the caller's key
	 * @param sharedParts the ids of these parts, in order
	 * @return the request once it has ended
	 */
	CompletableFuture<Call> sendPrompt(SoakGateway gateway, CallKind kind, String key, List<String> sharedParts) {
		return send(gateway, kind, key, 0, "", sharedParts);
	}

	private CompletableFuture<Call> send(SoakGateway gateway, CallKind kind, String key, int after, String givenWork,
			List<String> sharedParts) {
		String id = "c" + this.sent.incrementAndGet();
		String work = givenWork.isEmpty() ? id : givenWork;
		String body = kind.method().equals("POST") ? "body of " + work : "";
		Map<String, String> headers = new HashMap<>(CallerHeaders.of(id, kind.timeoutMillis(), key));
		if (after > 0) {
			headers.putAll(CallerHeaders.continuing(after));
		}
		headers.putAll(CallerHeaders.prompt(sharedParts, Integer.toHexString(id.hashCode())));
		headers.put("Host", SoakWorld.HOST);
		UpstreamRequest request = new UpstreamRequest(kind.method(), "http://" + gateway.callers() + kind.target(work),
				headers, body.getBytes(StandardCharsets.UTF_8));
		Listener listener = new Listener(id, work, kind, body, key, after, gateway.name());
		this.loop.run(() -> this.client.send(request, listener));
		return listener.ended;
	}

	@Override
	public void close() {
		this.client.close();
	}

	private final class Listener implements UpstreamListener {

		private final String id;

		private final String work;

		private final CallKind kind;

		private final String body;

		private final String key;

		private final int after;

		private final String gateway;

		private final long sentNanos = System.nanoTime();

		private final StringBuilder answer = new StringBuilder();

		private final CompletableFuture<Call> ended = new CompletableFuture<>();

		private int status;

		private String signature;

		private Listener(String id, String work, CallKind kind, String body, String key, int after, String gateway) {
			this.id = id;
			this.work = work;
			this.kind = kind;
			this.body = body;
			this.key = key;
			this.after = after;
			this.gateway = gateway;
		}

		@Override
		public void onHead(int answerStatus, Map<String, String> headers) {
			this.status = answerStatus;
			this.signature = CallerHeaders.signature(headers);
		}

		@Override
		public void onBytes(byte[] bytes) {
			this.answer.append(new String(bytes, StandardCharsets.UTF_8));
		}

		@Override
		public void onEnd() {
			end(true);
		}

		@Override
		public void onFailure(boolean maybeSent, Throwable cause) {
			end(false);
		}

		private void end(boolean whole) {
			Call call = new Call(this.id, this.work, this.kind, this.body, this.key, this.after, this.gateway,
					this.sentNanos, System.nanoTime(), this.status, this.signature, this.answer.toString(), whole);
			SoakCaller.this.calls.add(call);
			this.ended.complete(call);
		}

	}

}
