package org.snowwind.app.command;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;

import org.snowwind.app.logging.LogSetup;
import org.snowwind.app.measure.Figure;
import org.snowwind.app.measure.MeasureOptions;
import org.snowwind.app.measure.Measurement;
import org.snowwind.app.measure.MeasurementFailed;
import org.snowwind.app.measure.Measurements;
import org.snowwind.model.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Runs a measurement.
 */
@Command(name = "measure", description = "Measure something and print each figure beside its baseline and target.",
		mixinStandardHelpOptions = true,
		footer = { "", "Exits with 0 only where every target holds; missed ones are named last.", "", "Examples:",
				"  snowwind measure path --quick", "  snowwind measure footprint --pid entry=4711 --pid agent=4712" })
public final class MeasureCommand implements Callable<Integer> {

	@Parameters(arity = "0..1", paramLabel = "NAME", description = "What to measure; without it all are listed.")
	private String name;

	@Option(names = "--quick", description = "End within 45 s with fewer repeats.")
	private boolean quick;

	@Option(names = "--seed", description = "Makes inputs repeatable; default: ${DEFAULT-VALUE}.", defaultValue = "1")
	private long seed;

	@Option(names = "--pid", paramLabel = "ROLE=PID", description = "For footprint: a process to read.")
	private Map<String, Long> pids = new LinkedHashMap<>();

	@Option(names = "--demand", paramLabel = "FILE", description = "For balance: a CSV with step,layer,expert,tokens.")
	private Path demandFile;

	@Option(names = "--output", description = "${COMPLETION-CANDIDATES}; default: ${DEFAULT-VALUE}.",
			defaultValue = "table")
	private EntryOptions.Output output;

	@Override
	public Integer call() throws InterruptedException {
		LogSetup.quiet();
		if (this.name == null) {
			return list();
		}
		Optional<Measurement> measurement = Measurements.find(this.name);
		if (measurement.isEmpty()) {
			System.err.println("no measurement is named " + this.name);
			list();
			return ExitCodes.INVALID;
		}
		try {
			MeasureOptions options = new MeasureOptions(this.quick, this.seed, this.pids, this.demandFile);
			return print(measurement.get().run(options));
		}
		catch (MeasurementFailed ex) {
			System.err.println(ex.getMessage());
			return ExitCodes.INVALID;
		}
	}

	private static int list() {
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("NAME", "WHAT IT MEASURES"));
		Measurements.ALL.forEach((known) -> rows.add(List.of(known.name(), known.summary())));
		Tables.print(rows);
		return ExitCodes.OK;
	}

	private int print(List<Figure> figures) {
		List<Figure> missed = figures.stream().filter((figure) -> !figure.met()).toList();
		if (this.output == EntryOptions.Output.JSON) {
			Tables.print(Json.MAPPER.valueToTree(Map.of("measurement", this.name, "quick", this.quick, "seed",
					this.seed, "figures", figures, "missed", missed.stream().map(Figure::name).toList())));
		}
		else {
			printTable(figures, missed);
		}
		return missed.isEmpty() ? ExitCodes.OK : ExitCodes.MISSED;
	}

	private void printTable(List<Figure> figures, List<Figure> missed) {
		System.out.println("measurement " + this.name + ", seed " + this.seed
				+ (this.quick ? ", quick: fewer repeats" : "") + ", Java " + Runtime.version().feature());
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("FIGURE", "VALUE", "UNIT", "BASELINE", "TARGET", ""));
		for (Figure figure : figures) {
			rows.add(List.of(figure.name(), Figure.render(figure.value()), figure.unit(),
					(figure.baseline() != null) ? Figure.render(figure.baseline()) : "",
					(figure.target() != null) ? figure.target().render() : "", figure.met() ? "" : "MISSED"));
		}
		Tables.print(rows);
		missed.forEach((figure) -> System.out.println("missed: " + figure.name() + " is "
				+ Figure.render(figure.value()) + " " + figure.unit() + ", target " + figure.target().render()));
	}

}
