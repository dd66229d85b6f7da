package org.snowwind.app.command;

import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.snowwind.config.settings.SettingsFault;
import org.snowwind.config.settings.SettingsResult;

/**
 * What the commands of the daemons share.
 */
final class DaemonCommands {

	private DaemonCommands() {
	}

	/**
	 * Checks or runs a daemon.
	 * @param <T> the type of its settings
	 * @param settings its settings or what is wrong with them
	 * @param checkOnly whether only to check
	 * @param runner runs the daemon until it is stopped
	 * @return the exit code
	 */
	static <T> int run(SettingsResult<T> settings, boolean checkOnly, Runner<T> runner) {
		return settings.match((valid) -> {
			if (checkOnly) {
				System.out.println("settings are valid");
				return ExitCodes.OK;
			}
			return runner.run(valid);
		}, DaemonCommands::listFaults);
	}

	private static int listFaults(List<SettingsFault> faults) {
		faults.forEach(System.err::println);
		System.err.println(faults.size() + ((faults.size() == 1) ? " fault" : " faults"));
		return ExitCodes.INVALID;
	}

	/**
	 * Waits for SIGTERM or SIGINT and then stops the daemon.
	 * @param stop stops it; the process ends when it returns
	 */
	static void stopOnSignal(Runnable stop) {
		await(onSignal(stop));
	}

	/**
	 * Stops a daemon on SIGTERM or SIGINT from now on. A daemon that already listens when
	 * this is called would be ended without a stop by a signal that comes before.
	 * @param stop stops it; the process ends when it returns
	 * @return open until the daemon has stopped
	 */
	static CountDownLatch onSignal(Runnable stop) {
		CountDownLatch stopped = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			stop.run();
			stopped.countDown();
		}, "stop"));
		return stopped;
	}

	/**
	 * Waits for the end of a daemon.
	 * @param stopped open until it has stopped
	 */
	static void await(CountDownLatch stopped) {
		try {
			stopped.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Runs a daemon.
	 *
	 * @param <T> the type of its settings
	 */
	@FunctionalInterface
	interface Runner<T> {

		/**
		 * Runs it until it is stopped.
		 * @param settings its settings
		 * @return the exit code
		 */
		int run(T settings);

	}

}
