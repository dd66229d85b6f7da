package org.snowwind.gateway.backend;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that gateways neither overload nor waste servers after a backoff. All servers of
 * a service reject all requests for a second, get none during a backoff of three seconds,
 * and then get requests again.
 */
class ReturnModelTests {

	private static final long WORK_MILLIS = 100;

	private static final long DURATION_MILLIS = 9000;

	/** The first second in which servers get requests again. */
	private static final long RETURN_SECOND = 5;

	private static ReturnModel.Result simulate(int gateways, long reportMillis, int servers, double load, long seed,
			boolean paced) {
		return new ReturnModel(
				new ReturnModel.Scenario(gateways, servers, servers, WORK_MILLIS, reportMillis, load, paced), seed)
			.run(DURATION_MILLIS);
	}

	@ParameterizedTest
	@CsvSource({ "7, 100, 16, 0.3, 1", "7, 100, 16, 0.6, 1", "7, 100, 16, 0.6, 2", "49, 500, 32, 0.3, 1",
			"370, 3700, 85, 0.15, 1" })
	void returnLosesNoCapacity(int gateways, long reportMillis, int servers, double load, long seed) {
		ReturnModel.Result paced = simulate(gateways, reportMillis, servers, load, seed, true);
		assertThat(paced.servedShare(RETURN_SECOND, RETURN_SECOND + 1)).isGreaterThanOrEqualTo(0.95);
		assertThat(paced.servedShare(RETURN_SECOND + 1, RETURN_SECOND + 3)).isGreaterThanOrEqualTo(0.99);
	}

	@ParameterizedTest
	@CsvSource({ "49, 500, 32, 0.3, 1", "370, 3700, 85, 0.15, 1" })
	void manyReturningGatewaysDoNotFloodServers(int gateways, long reportMillis, int servers, double load, long seed) {
		int paced = simulate(gateways, reportMillis, servers, load, seed, true).rejectedBetween(RETURN_SECOND,
				RETURN_SECOND + 4);
		int atOnce = simulate(gateways, reportMillis, servers, load, seed, false).rejectedBetween(RETURN_SECOND,
				RETURN_SECOND + 4);
		assertThat(paced).isLessThanOrEqualTo(atOnce / 2);
	}

	@ParameterizedTest
	@CsvSource({ "0.3, 1", "0.6, 1", "0.6, 2" })
	void fewReturningGatewaysAreRejectedRarely(double load, long seed) {
		ReturnModel.Result result = simulate(7, 100, 16, load, seed, true);
		int rejected = result.rejectedBetween(RETURN_SECOND, RETURN_SECOND + 4);
		assertThat(rejected).isLessThanOrEqualTo(result.arrivedBetween(RETURN_SECOND, RETURN_SECOND + 4) / 100);
	}

}
