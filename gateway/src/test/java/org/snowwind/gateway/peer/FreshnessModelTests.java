package org.snowwind.gateway.peer;

import java.util.EnumSet;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.snowwind.gateway.peer.FreshnessModel.Fault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks by simulation that no gateway considers a copy confirmed that lacks an
 * acknowledged change, and that each change reaches all gateways within the bound.
 */
class FreshnessModelTests {

	private static final int CALLS_PER_MINUTE = 12;

	private static final int FEW_WAITING = 3;

	private static final long FAULTS_END_MILLIS = 14_000;

	private static final long SHORT_FAULTS_END_MILLIS = 3000;

	private static final long[] BOUNDS_MILLIS = { 2000, 3000, 4000 };

	/** The simulation discovers thousands of peers, each of which would be logged. */
	private static final Logger LOGGER = Logger.getLogger("org.snowwind.model.event.EventLog");

	@BeforeAll
	static void silenceLog() {
		LOGGER.setLevel(Level.OFF);
	}

	@AfterAll
	static void restoreLog() {
		LOGGER.setLevel(null);
	}

	private static void simulate(int gateways, Set<Fault> faults, int seeds, long faultsEndMillis, Property property) {
		for (int seed = 1; seed <= seeds; seed++) {
			for (long boundMillis : BOUNDS_MILLIS) {
				FreshnessModel.Result result = new FreshnessModel(
						FreshnessModel.Scenario.disrupted(gateways, boundMillis, faults, faultsEndMillis), seed)
					.run();
				property.check(result, boundMillis,
						"gateways " + gateways + ", bound " + boundMillis + ", seed " + seed);
			}
		}
	}

	private static void hasNoFalseConfirmation(FreshnessModel.Result result, long boundMillis, String run) {
		assertThat(result.falseConfirmations()).as(run).isEmpty();
	}

	private static void hasNoFalseConfirmationBeforeListing(FreshnessModel.Result result, long boundMillis,
			String run) {
		assertThat(result.falseConfirmationsBeforeListing()).as(run).isEmpty();
	}

	private static void changesArriveInTime(FreshnessModel.Result result, long boundMillis, String run) {
		assertThat(result.maxDelayMillis()).as(run + ": " + result.slowestChange()).isLessThanOrEqualTo(boundMillis);
	}

	private static Set<Fault> without(Fault first, Fault... others) {
		return EnumSet.complementOf(EnumSet.of(first, others));
	}

	@ParameterizedTest
	@EnumSource(Fault.class)
	void noCopyIsFalselyConfirmedUnderOneKindOfFault(Fault fault) {
		simulate(7, EnumSet.of(fault), 7, FAULTS_END_MILLIS, FreshnessModelTests::hasNoFalseConfirmation);
	}

	@ParameterizedTest
	@EnumSource(Fault.class)
	void changesArriveInTimeAfterOneKindOfFault(Fault fault) {
		simulate(7, EnumSet.of(fault), 4, FAULTS_END_MILLIS, FreshnessModelTests::changesArriveInTime);
	}

	@ParameterizedTest
	@CsvSource({ "7, 20", "32, 2", "49, 1" })
	void noCopyIsFalselyConfirmedUnderSeveralKindsOfFaults(int gateways, int seeds) {
		simulate(gateways, without(Fault.RESTARTS, Fault.HUGE_AGE), seeds, FAULTS_END_MILLIS,
				FreshnessModelTests::hasNoFalseConfirmation);
	}

	@ParameterizedTest
	@CsvSource({ "32, 3", "49, 4" })
	void changesArriveInTimeAtManyGateways(int gateways, int seeds) {
		simulate(gateways, without(Fault.RESTARTS, Fault.HUGE_AGE), seeds, FAULTS_END_MILLIS,
				FreshnessModelTests::changesArriveInTime);
	}

	@Test
	void changesArriveInTimeWithoutFalseConfirmationAtHundredsOfGateways() {
		long boundMillis = 2000;
		FreshnessModel.Result result = new FreshnessModel(FreshnessModel.Scenario.disrupted(370, boundMillis,
				without(Fault.RESTARTS, Fault.HUGE_AGE), SHORT_FAULTS_END_MILLIS), 1)
			.run();
		hasNoFalseConfirmation(result, boundMillis, "370 gateways");
		changesArriveInTime(result, boundMillis, "370 gateways");
	}

	@Test
	void noCopyIsFalselyConfirmedAfterRestartsDuringFaults() {
		simulate(7, without(Fault.HUGE_AGE), 10, FAULTS_END_MILLIS, FreshnessModelTests::hasNoFalseConfirmation);
	}

	@Test
	void changesArriveInTimeAfterSeveralKindsOfFaults() {
		simulate(7, without(Fault.HUGE_AGE), 20, FAULTS_END_MILLIS, FreshnessModelTests::changesArriveInTime);
	}

	@Test
	void noCopyIsFalselyConfirmedBeforeItsListing() {
		simulate(7, EnumSet.of(Fault.RESTARTS), 3, FAULTS_END_MILLIS,
				FreshnessModelTests::hasNoFalseConfirmationBeforeListing);
	}

	@ParameterizedTest
	@EnumSource(Fault.class)
	void changesArriveInTimeWhereFewGatewaysWaitForThem(Fault fault) {
		for (int gateways : new int[] { 7, 37 }) {
			FreshnessModel.Result result = new FreshnessModel(
					FreshnessModel.Scenario.disrupted(gateways, 4000, EnumSet.of(fault), FAULTS_END_MILLIS)
						.withWaiting(FEW_WAITING),
					1)
				.run();
			hasNoFalseConfirmation(result, 4000, fault + " at " + gateways);
			changesArriveInTime(result, 4000, fault + " at " + gateways);
		}
	}

	@ParameterizedTest
	@CsvSource({ "30", "66" })
	void quietFleetInWhichFewGatewaysWaitMakesFewCalls(int gateways) {
		FreshnessModel.Result result = new FreshnessModel(
				FreshnessModel.Scenario.quiet(gateways, 4000, 0, 5000, 65_000).withWaiting(FEW_WAITING), 1)
			.run();
		// One each 0.58 of the bound and three that wait 15 s, for each of two copies,
		// and as many again for calls that overlap.
		assertThat(result.totalCalls()).isLessThanOrEqualTo(2 * 2 * (60_000 / 2320 + 3 * 4));
	}

	@ParameterizedTest
	@CsvSource({ "7, 2000, 0", "7, 3000, 4000", "32, 2000, 0", "32, 4000, 4000", "49, 2000, 0", "49, 3000, 4000" })
	void quietFleetMakesFewCalls(int gateways, long boundMillis, long startWithinMillis) {
		FreshnessModel.Result result = new FreshnessModel(
				FreshnessModel.Scenario.quiet(gateways, boundMillis, startWithinMillis, 0, 60_000), 1)
			.run();
		assertThat(result.maxCalls()).isLessThanOrEqualTo(CALLS_PER_MINUTE * gateways);
	}

	@ParameterizedTest
	@CsvSource({ "2000, 0, 12000", "2000, 4000, 8000" })
	void quietFleetOfHundredsMakesFewCalls(long boundMillis, long startWithinMillis, int endMillis) {
		int gateways = 370;
		FreshnessModel.Result result = new FreshnessModel(
				FreshnessModel.Scenario.quiet(gateways, boundMillis, startWithinMillis, 5000, endMillis), 1)
			.run();
		int allowed = CALLS_PER_MINUTE * gateways * (endMillis - 5000) / 60_000;
		assertThat(result.maxCalls()).isLessThanOrEqualTo(allowed);
	}

	/**
	 * Checks the result of a simulation.
	 */
	@FunctionalInterface
	private interface Property {

		void check(FreshnessModel.Result result, long boundMillis, String run);

	}

}
