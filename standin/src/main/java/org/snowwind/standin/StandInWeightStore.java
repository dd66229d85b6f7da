package org.snowwind.standin;

import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import org.snowwind.http.DataLoop;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.http.server.Responses;

/**
 * A weight store with a rate limit: {@code GET /v1/weights/LAYER/EXPERT} takes as long as
 * the bytes of one expert need behind those of earlier readers.
 */
public final class StandInWeightStore extends HttpStandIn {

	private static final int OK = 200;

	private static final double MILLIS_PER_SECOND = 1000;

	private final long expertBytes;

	private final AtomicLong servedBytes = new AtomicLong();

	private volatile double bytesPerSecond;

	private double freeAtMillis;

	/**
	 * Creates a store.
	 * @param loop the thread that carries it
	 * @param expertBytes the size of one expert of one layer, in bytes
	 * @param bytesPerSecond the rate limit, in bytes a second
	 */
	public StandInWeightStore(DataLoop loop, long expertBytes, double bytesPerSecond) {
		super(loop);
		this.expertBytes = expertBytes;
		this.bytesPerSecond = bytesPerSecond;
	}

	/**
	 * Changes the rate limit.
	 * @param rate in bytes a second
	 */
	public void rate(double rate) {
		this.bytesPerSecond = rate;
	}

	/**
	 * Counts what was served.
	 * @return a number of bytes
	 */
	public long servedBytes() {
		return this.servedBytes.get();
	}

	@Override
	void handle(HttpExchange exchange) {
		double nowMillis = System.nanoTime() / 1e6;
		double busyMillis = this.expertBytes / this.bytesPerSecond * MILLIS_PER_SECOND;
		this.freeAtMillis = Math.max(this.freeAtMillis, nowMillis) + busyMillis;
		loop().later(() -> {
			this.servedBytes.addAndGet(this.expertBytes);
			Responses.json(exchange, OK, Map.of("bytes", this.expertBytes));
		}, (long) (this.freeAtMillis - nowMillis));
	}

}
