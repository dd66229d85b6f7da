package org.snowwind.app.measure;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.UpstreamClient;
import org.snowwind.http.client.UpstreamListener;
import org.snowwind.http.client.UpstreamRequest;

/**
 * Keeps a number of streams open at one URL and times their tokens.
 */
final class StreamProbe {

	private static final long TIMEOUT_SECONDS = 120;

	private final DataLoop loop;

	private final UpstreamClient client;

	private final String url;

	private final Map<String, String> headers;

	private final int tokens;

	private final Histogram firstToken = new ConcurrentHistogram(3);

	private final Histogram betweenTokens = new ConcurrentHistogram(3);

	private final AtomicInteger failures = new AtomicInteger();

	StreamProbe(DataLoop loop, UpstreamClient client, String url, Map<String, String> headers, int tokens) {
		this.loop = loop;
		this.client = client;
		this.url = url;
		this.headers = Map.copyOf(headers);
		this.tokens = tokens;
	}

	Histogram firstToken() {
		return this.firstToken;
	}

	Histogram betweenTokens() {
		return this.betweenTokens;
	}

	int failures() {
		return this.failures.get();
	}

	/**
	 * Runs so many requests, so many at a time.
	 * @param total how many requests
	 * @param atOnce how many streams are open at once
	 * @throws InterruptedException if the waiting thread is interrupted
	 * @throws MeasurementFailed if the streams do not end
	 */
	void run(int total, int atOnce) throws InterruptedException, MeasurementFailed {
		AtomicInteger left = new AtomicInteger(total);
		CountDownLatch ended = new CountDownLatch(total);
		this.loop.run(() -> {
			for (int i = 0; i < Math.min(total, atOnce); i++) {
				next(left, ended);
			}
		});
		if (!ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
			throw new MeasurementFailed("streams at " + this.url + " do not end");
		}
	}

	private void next(AtomicInteger left, CountDownLatch ended) {
		int number = left.getAndDecrement();
		if (number <= 0) {
			return;
		}
		String body = "{\"prompt\":\"probe " + number + "\",\"maxTokens\":" + this.tokens + "}";
		UpstreamRequest request = new UpstreamRequest("POST", this.url, this.headers,
				body.getBytes(StandardCharsets.UTF_8));
		this.client.send(request, new Timing(() -> {
			ended.countDown();
			next(left, ended);
		}));
	}

	private final class Timing implements UpstreamListener {

		private final Runnable whenEnded;

		private final long startNanos = System.nanoTime();

		private long lastNanos;

		private int status;

		private Timing(Runnable whenEnded) {
			this.whenEnded = whenEnded;
		}

		@Override
		public void onHead(int answerStatus, Map<String, String> answerHeaders) {
			this.status = answerStatus;
		}

		@Override
		public void onBytes(byte[] bytes) {
			long nowNanos = System.nanoTime();
			if (this.lastNanos == 0) {
				StreamProbe.this.firstToken.recordValue(nowNanos - this.startNanos);
			}
			else {
				StreamProbe.this.betweenTokens.recordValue(nowNanos - this.lastNanos);
			}
			this.lastNanos = nowNanos;
		}

		@Override
		public void onEnd() {
			if (this.status != 200) {
				StreamProbe.this.failures.incrementAndGet();
			}
			this.whenEnded.run();
		}

		@Override
		public void onFailure(boolean maybeSent, Throwable cause) {
			StreamProbe.this.failures.incrementAndGet();
			this.whenEnded.run();
		}

	}

}
