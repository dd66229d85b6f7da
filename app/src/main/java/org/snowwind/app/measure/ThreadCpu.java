package org.snowwind.app.measure;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;

/**
 * Reads the CPU time of this process's threads by their names.
 */
public final class ThreadCpu {

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	private ThreadCpu() {
	}

	/**
	 * Adds up the CPU time of threads.
	 * @param namePrefix how their names begin
	 * @return nanoseconds so far
	 */
	public static long nanos(String namePrefix) {
		long sum = 0;
		for (long id : THREADS.getAllThreadIds()) {
			ThreadInfo info = THREADS.getThreadInfo(id);
			if (info != null && info.getThreadName().startsWith(namePrefix)) {
				sum += Math.max(0, THREADS.getThreadCpuTime(id));
			}
		}
		return sum;
	}

}
