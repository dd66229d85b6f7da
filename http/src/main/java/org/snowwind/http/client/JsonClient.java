package org.snowwind.http.client;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.asynchttpclient.netty.channel.ChannelManager;
import org.snowwind.http.EndToEndHeaders;
import org.snowwind.http.client.syntax.ResponseFaults;
import org.snowwind.http.client.syntax.ResponseSyntax;
import org.snowwind.model.Json;

/**
 * Blocking calls with JSON, for threads that may wait.
 *
 * <p>
 * Each call has a connection of its own: answers name neither their call nor their
 * sender, so on a kept connection a late answer to one call is taken for that of the
 * next.
 */
public final class JsonClient implements AutoCloseable {

	/** How much later than the library's own time-out a call is given up for lost. */
	private static final long TIMEOUT_MARGIN_MILLIS = 500;

	private static final int FIRST_ERROR = 400;

	private final AsyncHttpClient client;

	private final Map<String, String> headers;

	/** Calls that somebody waits for, by their number. */
	private final Map<Long, CompletableFuture<JsonAnswer>> awaited = new ConcurrentHashMap<>();

	private final AtomicLong calls = new AtomicLong();

	private final ResponseFaults faults = new ResponseFaults();

	/**
	 * Creates a client with a thread of its own and the limits of the platform's store.
	 * @param headers sent with every call
	 * @param connectTimeoutMillis how long a connection may take, in milliseconds
	 */
	public JsonClient(Map<String, String> headers, long connectTimeoutMillis) {
		this(headers, connectTimeoutMillis, ResponseLimits.STORE);
	}

	/**
	 * Creates a client with a thread of its own. A call whose response exceeds a limit
	 * fails with an {@link IOException}.
	 * @param headers sent with every call
	 * @param connectTimeoutMillis how long a connection may take, in milliseconds
	 * @param limits the limits of responses
	 */
	public JsonClient(Map<String, String> headers, long connectTimeoutMillis, ResponseLimits limits) {
		this.headers = Map.copyOf(headers);
		UnfinishedResponses unfinished = new UnfinishedResponses(limits.maxTotalBytes());
		this.client = Dsl.asyncHttpClient(Dsl.config()
			.setIoThreadsCount(1)
			.setThreadPoolName("snowwind-json")
			.setConnectTimeout(Duration.ofMillis(connectTimeoutMillis))
			.setReadTimeout(Duration.ofMillis(-1))
			.setRequestTimeout(Duration.ofMillis(-1))
			.setMaxRequestRetry(0)
			.setKeepAlive(false)
			.setFollowRedirect(false)
			.setEnableAutomaticDecompression(false)
			.setCookieStore(null)
			.setHttpAdditionalChannelInitializer((connection) -> {
				ResponseSyntax.on(connection, ChannelManager.HTTP_CLIENT_CODEC, this.faults);
				InterimResponseFilter.on(connection, this.faults);
				ReceivedBytes.on(connection, limits.maxResponseBytes(), unfinished);
			}));
	}

	/**
	 * Calls and waits.
	 * @param method the HTTP method
	 * @param url the absolute URL
	 * @param extraHeaders further headers
	 * @param body sent as JSON, {@code null} for none; see {@link #encode(Object)}
	 * @param timeoutMillis how long to wait, in milliseconds
	 * @return the answer
	 * @throws IOException if no whole answer came in time; the call may have had its
	 * effect
	 */
	public JsonAnswer call(String method, String url, Map<String, String> extraHeaders, Object body, long timeoutMillis)
			throws IOException {
		CompletableFuture<JsonAnswer> answer = start(method, url, extraHeaders, body, timeoutMillis);
		long number = this.calls.incrementAndGet();
		this.awaited.put(number, answer);
		try {
			return await(answer, timeoutMillis + TIMEOUT_MARGIN_MILLIS);
		}
		finally {
			this.awaited.remove(number);
		}
	}

	/**
	 * Ends the calls that somebody waits for, as if no answer had come in time.
	 */
	public void giveUpCalls() {
		this.awaited.values().forEach((answer) -> answer.completeExceptionally(new IOException("given up")));
	}

	/**
	 * Calls and does not wait.
	 * @param method the HTTP method
	 * @param url the absolute URL
	 * @param extraHeaders further headers
	 * @param body sent as JSON, {@code null} for none; see {@link #encode(Object)}
	 * @param timeoutMillis after which the call fails, in milliseconds
	 * @return the answer to come; it fails with an {@link IOException} if no whole answer
	 * comes in time, and the call may have had its effect
	 */
	public CompletableFuture<JsonAnswer> start(String method, String url, Map<String, String> extraHeaders, Object body,
			long timeoutMillis) {
		RequestBuilder builder = new RequestBuilder(method, true).setUri(UnparsedUri.of(url));
		builder.setRequestTimeout(Duration.ofMillis(timeoutMillis));
		this.headers.forEach(builder::setHeader);
		extraHeaders.forEach(builder::setHeader);
		if (body != null) {
			builder.setHeader("Content-Type", "application/json");
			builder.setBody(encode(body));
		}
		return this.client.executeRequest(builder.build()).toCompletableFuture().thenApply(JsonClient::answerOf);
	}

	/**
	 * Returns the malformed responses of this client. The calls that they were sent for
	 * fail with an {@link IOException}.
	 * @return the record
	 */
	public ResponseFaults faults() {
		return this.faults;
	}

	/**
	 * Encodes a body that is sent to many, so that it is done once.
	 * @param body a value that serializes
	 * @return what to give as the body of each call
	 */
	public static byte[] encode(Object body) {
		if (body instanceof byte[] encoded) {
			return encoded;
		}
		try {
			return Json.MAPPER.writeValueAsBytes(body);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("only values that serialize may be sent", ex);
		}
	}

	private static JsonAnswer await(CompletableFuture<JsonAnswer> future, long timeoutMillis) throws IOException {
		try {
			return future.get(timeoutMillis, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			future.cancel(true);
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
		catch (TimeoutException ex) {
			future.cancel(true);
			throw new IOException("no answer within " + timeoutMillis + " ms", ex);
		}
		catch (ExecutionException ex) {
			throw new IOException(String.valueOf(ex.getCause().getMessage()), ex.getCause());
		}
	}

	private static JsonAnswer answerOf(Response response) {
		int status = response.getStatusCode();
		Map<String, String> headers = EndToEndHeaders.of(response.getHeaders());
		try {
			return new JsonAnswer(status, headers, Json.readForeign(response.getResponseBodyAsBytes()));
		}
		catch (IOException ex) {
			// The status and headers of an error count whatever its body is.
			if (status >= FIRST_ERROR) {
				return new JsonAnswer(status, headers, MissingNode.getInstance());
			}
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public void close() {
		try {
			this.client.close();
		}
		catch (IOException ex) {
			throw new java.io.UncheckedIOException(ex);
		}
	}

	/**
	 * An answer.
	 *
	 * @param status the HTTP status
	 * @param headers its headers by lower-case name
	 * @param body the body, a missing node if there is none
	 */
	public record JsonAnswer(int status, Map<String, String> headers, JsonNode body) {

	}

}
