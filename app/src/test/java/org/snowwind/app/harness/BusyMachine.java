package org.snowwind.app.harness;

import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.management.OperatingSystemMXBean;
import org.snowwind.app.load.CallRecord;

/**
 * Watches whether other programs leave this machine any processor time.
 *
 * <p>
 * The bound of a tenth of a second on late answers holds where they do. Where they do
 * not, the processes under test wait for a processor as long as that; a wider bound then
 * still tells an answer at its time from one that waited for a process to wake.
 */
public final class BusyMachine implements AutoCloseable {

	/** Above this part of all processors in use the machine is busy. */
	private static final double BUSY_LOAD = 0.85;

	private static final long SAMPLE_MILLIS = 200;

	/** How long after its budget a call may end on a busy machine, in milliseconds. */
	private static final long BUSY_GRACE_MILLIS = 1400;

	private final OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

	private final AtomicInteger busySamples = new AtomicInteger();

	private final Thread sampler = new Thread(this::sample, "busy-machine");

	/**
	 * Begins to watch.
	 */
	public BusyMachine() {
		this.sampler.setDaemon(true);
		this.sampler.start();
	}

	private void sample() {
		try {
			while (!Thread.currentThread().isInterrupted()) {
				TimeUnit.MILLISECONDS.sleep(SAMPLE_MILLIS);
				if (this.system.getCpuLoad() > BUSY_LOAD) {
					this.busySamples.incrementAndGet();
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Judges again which calls were late if the machine was busy for a second or more.
	 * @param calls the calls
	 * @param budgetMillis their budget, in milliseconds
	 * @return the calls, as they were on a machine with time to spare
	 */
	public List<CallRecord> judged(List<CallRecord> calls, long budgetMillis) {
		if (this.busySamples.get() * SAMPLE_MILLIS < TimeUnit.SECONDS.toMillis(1)) {
			return calls;
		}
		return calls.stream()
			.map((call) -> new CallRecord(call.kind(), call.organisation(), call.tag(), call.outcome(), call.status(),
					call.code(), call.elapsedMillis(), call.elapsedMillis() > budgetMillis + BUSY_GRACE_MILLIS))
			.toList();
	}

	@Override
	public void close() {
		this.sampler.interrupt();
	}

}
