package org.snowwind.gateway.request;

import java.util.function.LongSupplier;

import io.netty.util.concurrent.Future;
import org.snowwind.http.DataLoop;

/**
 * Measures for how long the server of one attempt has sent nothing, and notifies a
 * listener while that is longer than a limit. Confined to the event loop.
 *
 * <p>
 * Silence is measured in time during which this process could read. A server that is not
 * read cannot send, so its silence says nothing.
 */
final class SilenceTimer {

	/** A listener is notified of a lasting silence this many times per limit. */
	private static final int CHECKS_PER_LIMIT = 4;

	private final DataLoop loop;

	private final LongSupplier attentiveMillis;

	private final Runnable onSilent;

	private Future<?> timer;

	private long heardMillis;

	private long limitMillis;

	private boolean reading = true;

	/**
	 * Creates a timer that is not started.
	 * @param loop runs the timer
	 * @param attentiveMillis the time during which this process could read, in
	 * milliseconds
	 * @param onSilent called when the silence exceeds the limit, and again while it lasts
	 */
	SilenceTimer(DataLoop loop, LongSupplier attentiveMillis, Runnable onSilent) {
		this.loop = loop;
		this.attentiveMillis = attentiveMillis;
		this.onSilent = onSilent;
	}

	/**
	 * Starts to measure, or goes on with another limit, from now on.
	 * @param newLimitMillis the longest silence that is not notified, in milliseconds; 0
	 * for no limit
	 */
	void start(long newLimitMillis) {
		this.limitMillis = newLimitMillis;
		heard();
		schedule(newLimitMillis);
	}

	/** Records that the server sent something. */
	void heard() {
		this.heardMillis = this.attentiveMillis.getAsLong();
	}

	/**
	 * Records whether the server is read.
	 * @param nowReading whether it is
	 */
	void setReading(boolean nowReading) {
		if (nowReading && !this.reading) {
			heard();
			this.reading = true;
			schedule(this.limitMillis);
		}
		this.reading = nowReading;
	}

	void stop() {
		this.limitMillis = 0;
		cancel();
	}

	/**
	 * Returns for how long the server has sent nothing.
	 * @return the time, in milliseconds
	 */
	long silentMillis() {
		return this.attentiveMillis.getAsLong() - this.heardMillis;
	}

	/**
	 * Returns whether the silence exceeds the limit.
	 * @return false also if there is no limit or the server is not read
	 */
	boolean isSilent() {
		return this.limitMillis > 0 && this.reading && silentMillis() >= this.limitMillis;
	}

	private void schedule(long delayMillis) {
		cancel();
		if (this.limitMillis > 0) {
			this.timer = this.loop.later(this::check, Math.max(1, delayMillis));
		}
	}

	private void cancel() {
		if (this.timer != null) {
			this.timer.cancel(false);
		}
	}

	private void check() {
		if (!this.reading) {
			return;
		}
		boolean silent = isSilent();
		schedule(silent ? this.limitMillis / CHECKS_PER_LIMIT : this.limitMillis - silentMillis());
		if (silent) {
			this.onSilent.run();
		}
	}

}
