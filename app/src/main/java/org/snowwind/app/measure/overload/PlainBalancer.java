package org.snowwind.app.measure.overload;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.netty.util.concurrent.Future;
import org.snowwind.config.settings.Addresses;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.UpstreamCall;
import org.snowwind.http.client.UpstreamClient;
import org.snowwind.http.client.UpstreamListener;
import org.snowwind.http.client.UpstreamRequest;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.http.server.HttpLimits;
import org.snowwind.http.server.HttpServer;

/**
 * The baseline: round robin, no fairness, a fixed time-out, three retries of anything.
 */
final class PlainBalancer implements AutoCloseable {

	private static final int MAX_BODY_BYTES = 1 << 20;

	private static final int RETRIES = 3;

	private static final int SERVER_ERROR = 500;

	private static final int BAD_GATEWAY = 502;

	private final DataLoop loop = new DataLoop("plain-balancer");

	private final UpstreamClient client = new UpstreamClient(this.loop, 500);

	private final HttpServer server = new HttpServer(this.loop, HttpLimits.DEFAULT, this::handle);

	private final List<String> engineUrls;

	private final List<String> serviceUrls;

	private final long timeoutMillis;

	private int next;

	PlainBalancer(List<InetSocketAddress> engines, List<InetSocketAddress> services, long timeoutMillis) {
		this.engineUrls = urls(engines);
		this.serviceUrls = urls(services);
		this.timeoutMillis = timeoutMillis;
	}

	private static List<String> urls(List<InetSocketAddress> addresses) {
		return addresses.stream().map((address) -> "http://" + Addresses.render(address)).toList();
	}

	String start() {
		return "http://"
				+ Addresses.render(this.server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
	}

	private void handle(HttpExchange exchange) {
		exchange.readBody(MAX_BODY_BYTES, (body) -> {
			Forward forward = new Forward(exchange, body);
			exchange.onGone(forward::gone);
			forward.attempt();
		});
	}

	private String nextUrl(String path) {
		this.next++;
		if (path.startsWith("/v1/models/")) {
			return this.engineUrls.get(this.next % this.engineUrls.size()) + "/v1/generate";
		}
		String rest = path.substring(path.indexOf('/', "/v1/services/".length()));
		return this.serviceUrls.get(this.next % this.serviceUrls.size()) + rest;
	}

	@Override
	public void close() {
		this.server.close();
		this.client.close();
		this.loop.close();
	}

	private final class Forward implements UpstreamListener {

		private final HttpExchange exchange;

		private final byte[] body;

		private int attempts;

		private UpstreamCall call;

		private Future<?> timer;

		private int status;

		private Forward(HttpExchange exchange, byte[] body) {
			this.exchange = exchange;
			this.body = body;
		}

		private void attempt() {
			this.attempts++;
			Map<String, String> headers = new HashMap<>(this.exchange.headers());
			headers.remove("content-length");
			this.timer = PlainBalancer.this.loop.later(this::timedOut, PlainBalancer.this.timeoutMillis);
			this.call = PlainBalancer.this.client.send(
					new UpstreamRequest(this.exchange.method(), nextUrl(this.exchange.path()), headers, this.body),
					this);
		}

		private void timedOut() {
			this.call.cancel();
			failed();
		}

		private void gone() {
			this.timer.cancel(false);
			this.call.cancel();
		}

		@Override
		public void onHead(int answerStatus, Map<String, String> headers) {
			this.status = answerStatus;
			if (answerStatus < SERVER_ERROR) {
				this.exchange.begin(answerStatus, headers);
			}
		}

		@Override
		public void onBytes(byte[] bytes) {
			if (this.exchange.begun()) {
				this.exchange.write(bytes);
			}
		}

		@Override
		public void onEnd() {
			this.timer.cancel(false);
			if (this.status >= SERVER_ERROR) {
				failed();
				return;
			}
			this.exchange.end();
		}

		@Override
		public void onFailure(boolean maybeSent, Throwable cause) {
			this.timer.cancel(false);
			failed();
		}

		private void failed() {
			if (this.exchange.begun()) {
				this.exchange.abort();
			}
			else if (this.attempts <= RETRIES) {
				attempt();
			}
			else {
				this.exchange.respond(BAD_GATEWAY, Map.of(), new byte[0]);
			}
		}

	}

}
