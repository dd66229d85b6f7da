package org.snowwind.app.load;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.snowwind.http.DataLoop;
import org.snowwind.http.client.UpstreamClient;

/**
 * Sends calls and keeps a record of each.
 */
public final class LoadGenerator implements AutoCloseable {

	private static final long CONNECT_TIMEOUT_MILLIS = 1000;

	private static final long POLL_MILLIS = 10;

	private final DataLoop loop = new DataLoop("load");

	private final UpstreamClient client = new UpstreamClient(this.loop, CONNECT_TIMEOUT_MILLIS);

	private final LoadStatistics statistics = new LoadStatistics();

	private final Queue<CallRecord> records = new ConcurrentLinkedQueue<>();

	private final AtomicInteger open = new AtomicInteger();

	private final AtomicInteger sent = new AtomicInteger();

	private final String runName;

	private volatile List<String> entryUrls;

	/**
	 * Creates a generator.
	 * @param runName begins every tag, so that tags of different runs differ
	 * @param entryUrls the callers' URLs of the entries, which calls go to by turns
	 */
	public LoadGenerator(String runName, List<String> entryUrls) {
		this.runName = runName;
		this.entryUrls = List.copyOf(entryUrls);
	}

	/**
	 * Changes the entries that calls go to, as a platform's balancer does.
	 * @param urls the callers' URLs of the entries
	 */
	public void entries(List<String> urls) {
		this.entryUrls = List.copyOf(urls);
	}

	/**
	 * Sends one call.
	 * @param plan what it asks for
	 * @param caller who calls
	 * @return its tag
	 */
	public String send(CallPlan plan, Caller caller) {
		int number = this.sent.getAndIncrement();
		String tag = this.runName + "-" + number;
		List<String> urls = this.entryUrls;
		String url = urls.get(number % urls.size());
		this.open.incrementAndGet();
		this.loop.run(() -> new CheckedCall(plan, caller, tag, this.statistics, this::ended).send(this.client, url));
		return tag;
	}

	private void ended(CallRecord call) {
		this.records.add(call);
		this.open.decrementAndGet();
	}

	/**
	 * Counts the calls that have not ended.
	 * @return a number of calls
	 */
	public int open() {
		return this.open.get();
	}

	/**
	 * Waits until all calls have ended.
	 * @param timeoutMillis how long to wait, in milliseconds
	 * @return true if they have
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public boolean awaitIdle(long timeoutMillis) throws InterruptedException {
		long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		while (this.open.get() > 0) {
			if (System.nanoTime() > untilNanos) {
				return false;
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
		}
		return true;
	}

	/**
	 * Returns the calls that have ended.
	 * @return a record of each
	 */
	public List<CallRecord> records() {
		return List.copyOf(this.records);
	}

	/**
	 * Returns the measured times.
	 * @return the statistics
	 */
	public LoadStatistics statistics() {
		return this.statistics;
	}

	@Override
	public void close() {
		this.client.close();
		this.loop.close();
	}

}
