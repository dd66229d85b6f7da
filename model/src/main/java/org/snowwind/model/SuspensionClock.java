package org.snowwind.model;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Elapsed time, that in which the VM was suspended included.
 *
 * <p>
 * The steady clock stands still while a VM is suspended, and callers, servers and peers
 * go on. A process that does not count that time hands servers more time than is left,
 * and takes old news for fresh. The time of day counts it, but jumps by itself too; so a
 * jump of it counts only as far as the time since the machine's start jumped with it.
 */
final class SuspensionClock implements MonotonicClock {

	/** Shorter suspensions are within what every promise allows, in milliseconds. */
	static final long LEAST_MILLIS = 200;

	/**
	 * By so much the two jumps may differ, in milliseconds: the time since the machine's
	 * start is told in hundredths of a second, and reading it takes a moment.
	 */
	static final long TOLERANCE_MILLIS = 100;

	private static final Path UPTIME = Path.of("/proc/uptime");

	private static final double MILLIS_PER_SECOND = 1000;

	private final LongSupplier steadyMillis;

	private final LongSupplier wallMillis;

	private final Supplier<OptionalLong> bootMillis;

	private volatile long suspendedMillis;

	/** By how much the time of day is ahead of the steady clock. */
	private volatile long wallAheadMillis;

	/** The same of the time since the machine's start; guarded by this object. */
	private OptionalLong bootAheadMillis;

	/**
	 * Creates a clock.
	 * @param steadyMillis reads a clock that stands still while the VM is suspended
	 * @param wallMillis reads the time of day
	 * @param bootMillis reads the time since the machine's start, suspensions included;
	 * empty where it cannot be read
	 */
	SuspensionClock(LongSupplier steadyMillis, LongSupplier wallMillis, Supplier<OptionalLong> bootMillis) {
		this.steadyMillis = steadyMillis;
		this.wallMillis = wallMillis;
		this.bootMillis = bootMillis;
		long nowMillis = steadyMillis.getAsLong();
		this.wallAheadMillis = wallMillis.getAsLong() - nowMillis;
		this.bootAheadMillis = bootAhead(nowMillis);
	}

	/**
	 * Reads the time since the machine's start.
	 * @return the time in milliseconds, empty where it cannot be read
	 */
	static OptionalLong uptimeMillis() {
		try {
			String first = Files.readString(UPTIME).split(" ", 2)[0];
			return OptionalLong.of((long) (Double.parseDouble(first) * MILLIS_PER_SECOND));
		}
		catch (IOException | NumberFormatException ex) {
			// Suspensions are not seen then, as on a machine that has no such file.
			return OptionalLong.empty();
		}
	}

	private OptionalLong bootAhead(long nowMillis) {
		OptionalLong boot = this.bootMillis.get();
		return boot.isPresent() ? OptionalLong.of(boot.getAsLong() - nowMillis) : boot;
	}

	@Override
	public long nowMillis() {
		long nowMillis = this.steadyMillis.getAsLong();
		if (leapMillis(nowMillis) != 0) {
			nowMillis = look();
		}
		return nowMillis + this.suspendedMillis;
	}

	@Override
	public long suspendedMillis() {
		return this.suspendedMillis;
	}

	private long leapMillis(long nowMillis) {
		long leapMillis = this.wallMillis.getAsLong() - nowMillis - this.wallAheadMillis;
		return (Math.abs(leapMillis) >= LEAST_MILLIS) ? leapMillis : 0;
	}

	private synchronized long look() {
		long nowMillis = this.steadyMillis.getAsLong();
		long leapMillis = leapMillis(nowMillis);
		if (leapMillis == 0) {
			return nowMillis;
		}
		this.wallAheadMillis += leapMillis;
		OptionalLong bootBefore = this.bootAheadMillis;
		this.bootAheadMillis = bootAhead(nowMillis);
		if (bootBefore.isPresent() && this.bootAheadMillis.isPresent()) {
			long missedMillis = this.bootAheadMillis.getAsLong() - bootBefore.getAsLong();
			if (missedMillis >= LEAST_MILLIS && Math.abs(missedMillis - leapMillis) <= TOLERANCE_MILLIS) {
				this.suspendedMillis += missedMillis;
			}
		}
		return nowMillis;
	}

}
