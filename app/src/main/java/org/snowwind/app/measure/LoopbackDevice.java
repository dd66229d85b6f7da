package org.snowwind.app.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * Counts what goes over the loopback device; right only while no other process uses it.
 */
public final class LoopbackDevice {

	private static final Path COUNTERS = Path.of("/proc/net/dev");

	private LoopbackDevice() {
	}

	/**
	 * Reads what the device has received so far.
	 * @return bytes, headers included
	 * @throws MeasurementFailed if the counters cannot be read
	 */
	public static double receivedBytes() throws MeasurementFailed {
		try (Stream<String> lines = Files.lines(COUNTERS)) {
			return lines.filter((line) -> line.trim().startsWith("lo:"))
				.mapToDouble((line) -> Double.parseDouble(line.trim().split("\\s+")[1]))
				.findFirst()
				.orElseThrow(() -> new MeasurementFailed("there is no loopback device"));
		}
		catch (IOException ex) {
			throw new MeasurementFailed("the loopback device cannot be read", ex);
		}
	}

}
