package org.snowwind.http.client;

import java.time.Duration;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.netty.channel.ChannelManager;
import org.snowwind.http.DataLoop;
import org.snowwind.http.TurnReads;
import org.snowwind.http.client.syntax.ResponseFaults;
import org.snowwind.http.client.syntax.ResponseSyntax;

/**
 * Sends requests through AsyncHttpClient on the shared loop.
 *
 * <p>
 * The library's own retries, redirects and time-outs are off: when to try again is
 * decided elsewhere.
 */
public final class UpstreamClient implements AutoCloseable {

	private static final Duration NEVER = Duration.ofMillis(-1);

	private final DataLoop loop;

	private final AsyncHttpClient client;

	private final Answers answers;

	private final ResponseFaults faults = new ResponseFaults();

	/**
	 * Creates a client that keeps connections open and takes only framed answers.
	 * @param loop the thread that carries it
	 * @param connectTimeoutMillis how long a connection may take, in milliseconds
	 */
	public UpstreamClient(DataLoop loop, long connectTimeoutMillis) {
		this(loop, connectTimeoutMillis, Connections.KEPT, Answers.FRAMED);
	}

	/**
	 * Creates a client.
	 * @param loop the thread that carries it
	 * @param connectTimeoutMillis how long a connection may take, in milliseconds
	 * @param connections whether connections carry more than one request
	 * @param answers which answers are taken
	 */
	public UpstreamClient(DataLoop loop, long connectTimeoutMillis, Connections connections, Answers answers) {
		this.loop = loop;
		this.answers = answers;
		DefaultAsyncHttpClientConfig.Builder config = Dsl.config()
			.setEventLoopGroup(loop.group())
			.setConnectTimeout(Duration.ofMillis(connectTimeoutMillis))
			.setRequestTimeout(NEVER)
			.setReadTimeout(NEVER)
			.setMaxRequestRetry(0)
			.setFollowRedirect(false)
			.setKeepAlive(connections == Connections.KEPT)
			.setEnableAutomaticDecompression(false)
			.setPooledConnectionIdleTimeout(Duration.ofSeconds(20))
			.setTcpNoDelay(true)
			.setCookieStore(null)
			.addChannelOption(ChannelOption.RCVBUF_ALLOCATOR, TurnReads.allocator())
			.setHttpAdditionalChannelInitializer(this::prepare)
			.setUserAgent("snowwind");
		this.client = Dsl.asyncHttpClient(config);
	}

	private void prepare(Channel connection) {
		UnusedBytes.on(connection);
		ResponseSyntax.on(connection, ChannelManager.HTTP_CLIENT_CODEC, this.faults);
		InterimResponseFilter.on(connection, this.faults);
		connection.pipeline().addAfter(ChannelManager.HTTP_CLIENT_CODEC, null, new ReadGate());
	}

	/**
	 * Sends a request.
	 * @param request the request
	 * @param listener is told how it fares
	 * @return the call
	 */
	public UpstreamCall send(UpstreamRequest request, UpstreamListener listener) {
		RequestBuilder builder = new RequestBuilder(request.method(), true)
			.setUri(UnparsedUri.of(request.origin(), request.target()));
		request.headers().forEach(builder::setHeader);
		if (request.body().length > 0) {
			builder.setBody(request.body());
		}
		UpstreamCall call = new UpstreamCall(this.loop, this.answers, request.method(), listener);
		this.client.executeRequest(builder.build(), call);
		return call;
	}

	/**
	 * Returns the malformed responses of this client. The calls that they were sent for
	 * fail with a {@code MalformedResponseException}.
	 * @return the record
	 */
	public ResponseFaults faults() {
		return this.faults;
	}

	@Override
	public void close() {
		try {
			this.client.close();
		}
		catch (java.io.IOException ex) {
			throw new java.io.UncheckedIOException(ex);
		}
	}

	/**
	 * Whether a connection carries more than one request.
	 */
	public enum Connections {

		/** Connections are kept open and used again. */
		KEPT,

		/**
		 * Each request has a connection of its own, so that nothing that a server sends
		 * beyond its answer can be taken for the answer to another request.
		 */
		FRESH

	}

	/**
	 * Which answers are taken.
	 */
	public enum Answers {

		/** Only those with a length or chunks. */
		FRAMED,

		/** Also those that end with their connection, unless it is reset. */
		FRAMED_OR_CLOSED

	}

}
