package org.snowwind.entry.burn;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.ProblemKind;
import org.snowwind.model.resource.ServiceLevel;

import static org.assertj.core.api.Assertions.assertThat;

class BurnReportTests {

	private static final long NOW = 100_000;

	private static final ServiceLevel LEVEL = new ServiceLevel(0.9, 100, 1000);

	private static BurnDocument document(String place, BurnLine... lines) {
		return new BurnDocument(place, List.of(NOW, NOW - 1), List.of(lines));
	}

	private static BurnLine line(long minute, String cause, long count) {
		return new BurnLine(minute, "atlas", "desk", cause, count);
	}

	@Test
	void requestsAreGoodOrBadForACause() {
		BurnCounter counter = new BurnCounter(() -> NOW);
		counter.ended("atlas", "desk", LEVEL, new BurnCounter.Fared(Disclosure.ANSWERED, null, 50, 500));
		counter.ended("atlas", "desk", LEVEL, new BurnCounter.Fared(Disclosure.ANSWERED, null, 200, 500));
		counter.ended("atlas", "desk", LEVEL, new BurnCounter.Fared(Disclosure.ANSWERED, null, 50, 5000));
		counter.ended("atlas", "desk", LEVEL, new BurnCounter.Fared(Disclosure.NOT_RUN, ProblemKind.OVERLOADED, 0, 1));
		assertThat(counter.take()).extracting(BurnLine::cause)
			.containsExactlyInAnyOrder(BurnLine.GOOD, "late-first-byte", "late-answer", "overloaded");
		assertThat(counter.take()).isEmpty();
	}

	@Test
	void aBreachShowsWithItsCauseAndItsPlace() {
		BurnReporter reporter = new BurnReporter(Snapshot.NONE, NOW);
		reporter.add(document("casa", line(NOW, BurnLine.GOOD, 100)));
		reporter.add(document("fes", line(NOW, "backend-failed", 300), line(NOW, "overloaded", 5)));
		BurnReport.Row row = reporter.report().rows().get(0);
		assertThat(row.alert()).isEqualTo("FAST");
		assertThat(row.topCauses().keySet()).containsExactly("backend-failed", "overloaded");
		assertThat(row.worstDataCentre()).isEqualTo("fes");
		assertThat(row.budgetLeftShare()).isNegative();
	}

	@Test
	void gapsAreNeitherGoodNorBad() {
		BurnReporter reporter = new BurnReporter(Snapshot.NONE, NOW);
		reporter.add(document("casa", line(NOW, BurnLine.GOOD, 1)));
		BurnReport report = reporter.report();
		assertThat(report.gapMinutes()).isEqualTo(59);
		assertThat(report.rows().get(0).lastHour()).hasSize(60).filteredOn((share) -> share < 0).hasSize(58);
	}

	@Test
	void whatIsOlderThanAWindowDoesNotCountInIt() {
		BurnReporter reporter = new BurnReporter(Snapshot.NONE, NOW);
		reporter.add(document("casa", line(NOW - 30, "overloaded", 10), line(NOW, BurnLine.GOOD, 10)));
		BurnReport.Row row = reporter.report().rows().get(0);
		assertThat(row.burns().get("5m")).isZero();
		assertThat(row.burns().get("1h")).isPositive();
	}

}
