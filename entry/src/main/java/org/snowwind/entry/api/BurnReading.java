package org.snowwind.entry.api;

import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.snowwind.entry.burn.BurnDocument;
import org.snowwind.entry.burn.BurnReport;
import org.snowwind.entry.burn.BurnReporter;
import org.snowwind.entry.burn.BurnWriter;
import org.snowwind.entry.config.ConfigHolder;
import org.snowwind.model.Json;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;
import org.snowwind.store.ListResult;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.StoredObject;

/**
 * Reads all entries' counts from the platform and makes the burn report.
 */
public final class BurnReading {

	private final ObjectStore store;

	private final ConfigHolder config;

	/**
	 * Creates the reading.
	 * @param store the platform
	 * @param config knows what was promised
	 */
	public BurnReading(ObjectStore store, ConfigHolder config) {
		this.store = store;
		this.config = config;
	}

	/**
	 * Reads and reports; waits for the platform.
	 * @param <R> the type of what comes out
	 * @param onReport handles the report
	 * @param onProblem handles that the platform is away
	 * @return what the handler returns
	 */
	public <R> R read(Function<BurnReport, R> onReport, Function<Problem, R> onProblem) {
		return this.store.list(BurnWriter.PREFIX)
			.match((listed) -> onReport.apply(report(listed)),
					(away) -> onProblem.apply(Problem.notRun(ProblemKind.PLATFORM_AWAY, away.reason())));
	}

	private BurnReport report(ListResult.Listed listed) {
		long minuteNow = TimeUnit.MILLISECONDS.toMinutes(System.currentTimeMillis());
		BurnReporter reporter = new BurnReporter(this.config.current(), minuteNow);
		listed.objects().forEach((object) -> add(reporter, object));
		return reporter.report();
	}

	private static void add(BurnReporter reporter, StoredObject object) {
		try {
			reporter.add(Json.MAPPER.treeToValue(object.value(), BurnDocument.class));
		}
		catch (JsonProcessingException ex) {
			// Not one of ours; its minutes stay gaps.
		}
	}

}
