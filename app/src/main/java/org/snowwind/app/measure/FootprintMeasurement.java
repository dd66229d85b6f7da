package org.snowwind.app.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Reads the resident memory and the idle CPU of running processes; starts nothing.
 */
final class FootprintMeasurement implements Measurement {

	private static final double MAX_MEGABYTES = 128;

	private static final double MAX_CORE_PERCENT = 2.6;

	private static final int UTIME = 13;

	private static final int STIME = 14;

	private static final double TICKS_PER_SECOND = 100;

	private static final double KILOBYTES_PER_MEGABYTE = 1024;

	private static final int PERCENT = 100;

	@Override
	public String name() {
		return "footprint";
	}

	@Override
	public String summary() {
		return "resident memory and idle CPU of the processes given by --pid ROLE=PID";
	}

	@Override
	public List<Figure> run(MeasureOptions options) throws MeasurementFailed, InterruptedException {
		if (options.pids().isEmpty()) {
			throw new MeasurementFailed(
					"start an entry and an agent as docs/operations/first-run.md says, then give --pid entry=PID --pid agent=PID");
		}
		int seconds = options.repeats(30, 10);
		Map<String, Double> before = ticks(options);
		TimeUnit.SECONDS.sleep(seconds);
		Map<String, Double> after = ticks(options);
		List<Figure> figures = new ArrayList<>();
		for (String role : before.keySet()) {
			double cpuSeconds = (after.get(role) - before.get(role)) / TICKS_PER_SECOND;
			figures.add(Figure.of(role + " resident", residentMegabytes(options.pids().get(role)), "MB")
				.atMost(MAX_MEGABYTES));
			figures
				.add(Figure.of(role + " CPU", cpuSeconds / seconds * PERCENT, "% of a core").atMost(MAX_CORE_PERCENT));
		}
		return figures;
	}

	private static Map<String, Double> ticks(MeasureOptions options) throws MeasurementFailed {
		Map<String, Double> ticks = new TreeMap<>();
		for (Map.Entry<String, Long> process : options.pids().entrySet()) {
			String stat = read(process.getValue(), "stat");
			String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
			ticks.put(process.getKey(), Double.parseDouble(fields[UTIME - 2]) + Double.parseDouble(fields[STIME - 2]));
		}
		return ticks;
	}

	private static double residentMegabytes(long pid) throws MeasurementFailed {
		return read(pid, "status").lines()
			.filter((line) -> line.startsWith("VmRSS:"))
			.mapToDouble((line) -> Double.parseDouble(line.replaceAll("\\D", "")) / KILOBYTES_PER_MEGABYTE)
			.findFirst()
			.orElse(0);
	}

	private static String read(long pid, String file) throws MeasurementFailed {
		try {
			return Files.readString(Path.of("/proc", Long.toString(pid), file));
		}
		catch (IOException ex) {
			throw new MeasurementFailed("process " + pid + " cannot be read; is it running?", ex);
		}
	}

}
