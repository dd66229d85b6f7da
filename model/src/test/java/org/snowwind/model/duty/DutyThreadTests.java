package org.snowwind.model.duty;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DutyThreadTests {

	private static final long HOUR_MILLIS = 3_600_000;

	private final CountDownLatch began = new CountDownLatch(1);

	private final CountDownLatch mayEnd = new CountDownLatch(1);

	private final AtomicBoolean interrupted = new AtomicBoolean();

	private final DutyThread thread = new DutyThread("test", 4, HOUR_MILLIS, this::work);

	private void work() {
		this.began.countDown();
		try {
			this.mayEnd.await();
		}
		catch (InterruptedException ex) {
			this.interrupted.set(true);
		}
	}

	@Test
	void whatIsUnderWayEndsWhereAThreadFinishes() throws InterruptedException {
		this.thread.start();
		this.began.await();
		Thread finish = new Thread(() -> this.thread.finish(HOUR_MILLIS));
		finish.start();
		this.mayEnd.countDown();
		finish.join();
		assertThat(this.interrupted).isFalse();
	}

	@Test
	void whatTakesTooLongIsInterrupted() throws InterruptedException {
		this.thread.start();
		this.began.await();
		this.thread.finish(1);
		assertThat(this.interrupted).isTrue();
	}

	@Test
	void aThreadThatWaitsForItsNextTickFinishesAtOnce() throws InterruptedException {
		this.mayEnd.countDown();
		this.thread.start();
		this.began.await();
		this.thread.finish(HOUR_MILLIS);
		assertThat(this.interrupted).isFalse();
	}

}
