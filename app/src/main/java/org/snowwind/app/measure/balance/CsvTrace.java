package org.snowwind.app.measure.balance;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.snowwind.app.measure.MeasurementFailed;

/**
 * A trace from a file with the columns step, layer, expert and tokens.
 */
final class CsvTrace implements DemandTrace {

	private static final int COLUMNS = 4;

	private final String name;

	private final double[][][] demand;

	private CsvTrace(String name, double[][][] demand) {
		this.name = name;
		this.demand = demand;
	}

	static CsvTrace read(Path file) throws MeasurementFailed {
		try {
			List<int[]> rows = Files.readAllLines(file)
				.stream()
				.skip(1)
				.filter((line) -> !line.isBlank())
				.map(CsvTrace::row)
				.toList();
			int[] size = new int[COLUMNS - 1];
			for (int[] row : rows) {
				for (int column = 0; column < size.length; column++) {
					size[column] = Math.max(size[column], row[column] + 1);
				}
			}
			double[][][] demand = new double[size[0]][size[1]][size[2]];
			rows.forEach((row) -> demand[row[0]][row[1]][row[2]] += row[3]);
			return new CsvTrace(file.getFileName().toString(), demand);
		}
		catch (IOException | NumberFormatException | ArrayIndexOutOfBoundsException ex) {
			throw new MeasurementFailed(file + " must have a heading and rows of step,layer,expert,tokens", ex);
		}
	}

	private static int[] row(String line) {
		String[] cells = line.split(",");
		int[] row = new int[COLUMNS];
		for (int column = 0; column < COLUMNS; column++) {
			row[column] = Integer.parseInt(cells[column].trim());
		}
		return row;
	}

	@Override
	public String name() {
		return this.name;
	}

	@Override
	public int periods() {
		return this.demand.length;
	}

	@Override
	public double[][] demandAt(int period) {
		return this.demand[period];
	}

}
