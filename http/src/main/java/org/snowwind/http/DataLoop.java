package org.snowwind.http;

import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.IntSupplier;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultEventExecutorChooserFactory;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.RejectedExecutionHandlers;
import io.netty.util.concurrent.ThreadPerTaskExecutor;
import org.jctools.queues.MpscArrayQueue;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * The one thread that owns all requests of a process.
 *
 * <p>
 * Servers and clients share it, so that the state of a request and the decisions about it
 * are confined to one thread and need no locks. At the size that is designed for, an
 * entry carries ten requests and some thousands of tokens a second, which one thread does
 * with ease.
 */
public final class DataLoop implements AutoCloseable {

	private static final long STOP_MILLIS = 2000;

	/** Tasks of other threads wait in a bounded ring; a full one refuses the task. */
	private static final int RING_SIZE = 1 << 16;

	private final NioEventLoopGroup group;

	private final EventLoop loop;

	/**
	 * Starts the thread.
	 * @param name the thread's name
	 */
	public DataLoop(String name) {
		this.group = new NioEventLoopGroup(1, new ThreadPerTaskExecutor(new DefaultThreadFactory(name, true)),
				DefaultEventExecutorChooserFactory.INSTANCE, SelectorProvider.provider(),
				DefaultSelectStrategyFactory.INSTANCE, RejectedExecutionHandlers.reject(),
				(maxPending) -> new MpscArrayQueue<>(RING_SIZE));
		this.loop = this.group.next();
	}

	/**
	 * Returns the group for Netty's bootstraps.
	 * @return a group of one thread
	 */
	public NioEventLoopGroup group() {
		return this.group;
	}

	/**
	 * Runs a task on the thread, at once if the caller is on it.
	 * @param task the task
	 * @throws java.util.concurrent.RejectedExecutionException if the ring is full
	 */
	public void run(Runnable task) {
		if (this.loop.inEventLoop()) {
			task.run();
		}
		else {
			this.loop.execute(task);
		}
	}

	/**
	 * Runs a task on the thread later.
	 * @param task the task
	 * @param delayMillis how much later, in milliseconds
	 * @return a handle that can cancel it
	 */
	public Future<?> later(Runnable task, long delayMillis) {
		return this.loop.schedule(task, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
	}

	/**
	 * Runs a task on the thread again and again, also after it has failed.
	 * @param task the task
	 * @param periodMillis how often, in milliseconds
	 * @return a handle that can cancel it
	 */
	public Future<?> every(Runnable task, long periodMillis) {
		return this.loop.scheduleAtFixedRate(() -> guarded(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
	}

	// A task that throws would not be run again.
	private static void guarded(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException | Error ex) {
			logFailure(ex);
		}
	}

	private static void logFailure(Throwable failure) {
		try {
			EventLog.log(Event.INTERNAL_FAULT, failure, "where", "task of the loop");
		}
		catch (RuntimeException | Error ex) {
			// Logging allocates memory. The task logs its next failure.
			return;
		}
	}

	/**
	 * Asks for a number that only the thread may read, and waits for it.
	 * @param question reads the number
	 * @param otherwise taken if the thread does not answer within a second, or the asking
	 * one is interrupted
	 * @return the number
	 */
	public int ask(IntSupplier question, int otherwise) {
		CompletableFuture<Integer> answer = new CompletableFuture<>();
		run(() -> answer.complete(question.getAsInt()));
		try {
			return answer.get(1, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return otherwise;
		}
		catch (ExecutionException | TimeoutException ex) {
			EventLog.log(Event.INTERNAL_FAULT, ex, "where", "asking the loop");
			return otherwise;
		}
	}

	@Override
	public void close() {
		this.group.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly(STOP_MILLIS);
	}

}
