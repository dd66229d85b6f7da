package org.snowwind.gateway.table;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RequestPriorities}.
 */
class RequestPrioritiesTests {

	private static Route route(int priority, boolean open) {
		return new Route("route" + priority, "h", "/", RepeatPolicy.STREAM, 1000, 400, 100, priority, 1, open, false,
				List.of(new Route.Share("s", 1)));
	}

	private static RequestPriorities ofRoutes(int... priorities) {
		return RequestPriorities.of(IntStream.of(priorities).mapToObj((priority) -> route(priority, false)).toList(),
				OpenAccess.INSTANCE);
	}

	private static CallerAccess access(KeyHolder... holders) {
		return new KeyedAccess(
				Stream.of(holders).map((holder) -> new Organisation(holder, List.of(holder.organisation()))).toList(),
				List.of());
	}

	private static KeyHolder holder(int priority) {
		return new KeyHolder("org" + priority, priority);
	}

	@Test
	void organisationOverridesRoute() {
		RequestPriorities priorities = ofRoutes(0, 2);
		assertThat(priorities.of(route(2, false), "s", holder(1))).isEqualTo(1);
		assertThat(priorities.of(route(2, false), "s", holder(0))).isZero();
		assertThat(priorities.of(route(2, false), "s", holder(RequestPriorities.NONE))).isEqualTo(2);
		assertThat(priorities.of(route(2, false), "s", null)).isEqualTo(2);
	}

	@Test
	void requestsHaveNoPriorityIfAllHaveTheSame() {
		for (RequestPriorities same : List.of(ofRoutes(), ofRoutes(2, 2), ofRoutes(-1, -1), ofRoutes(-1, 5),
				ofRoutes(9, 12))) {
			assertThat(same.areDistinct("s")).isFalse();
			assertThat(same.of(route(2, false), "s", holder(1))).isEqualTo(RequestPriorities.NONE);
		}
	}

	@Test
	void routesThatEveryOrganisationOverridesMakeNoDifference() {
		List<Route> routes = List.of(route(0, false), route(2, false));
		assertThat(RequestPriorities.of(routes, access(holder(1))).areDistinct("s")).isFalse();
		assertThat(RequestPriorities.of(routes, access(holder(1), holder(-1))).areDistinct("s")).isTrue();
		assertThat(RequestPriorities.of(routes, access(holder(1), holder(3))).areDistinct("s")).isTrue();
		assertThat(RequestPriorities.of(List.of(route(0, true)), access(holder(1))).areDistinct("s")).isTrue();
	}

	@Test
	void removalOfAKeyChangesNoPriorityOfOthers() {
		List<Route> routes = List.of(route(2, false));
		CallerAccess withoutKey = new KeyedAccess(List.of(new Organisation(holder(1), List.of()),
				new Organisation(holder(RequestPriorities.NONE), List.of("k"))), List.of());
		assertThat(RequestPriorities.of(routes, withoutKey).areDistinct("s")).isTrue();
	}

	@Test
	void organisationWithoutAKeyIsNotTakenForOpenAccess() {
		CallerAccess withoutKeys = new KeyedAccess(List.of(new Organisation(holder(1), List.of())), List.of());
		assertThat(RequestPriorities.of(List.of(route(0, false), route(2, false)), withoutKeys).areDistinct("s"))
			.isFalse();
		assertThat(
				RequestPriorities.of(List.of(route(0, false)), new KeyedAccess(List.of(), List.of())).areDistinct("s"))
			.isFalse();
	}

	@Test
	void priorityOutOfRangeIsReportedWithoutAKey() {
		CallerAccess withoutKeys = new KeyedAccess(List.of(new Organisation(holder(70), List.of())), List.of());
		assertThat(RequestPriorities.of(List.of(), withoutKeys).outOfRange()).containsExactly("org70");
	}

	@Test
	void requestWithoutPriorityIsBetweenOthers() {
		RequestPriorities priorities = ofRoutes(0, RequestPriorities.NONE);
		assertThat(priorities.areDistinct("s")).isTrue();
		assertThat(priorities.of(route(RequestPriorities.NONE, false), "s", null)).isEqualTo(RequestPriorities.DEFAULT);
	}

	@Test
	void valuesOutOfRangeAreBoundedAndReported() {
		RequestPriorities priorities = RequestPriorities.of(
				List.of(route(RequestPriorities.INVALID, false), route(70, false), route(0, false)),
				access(holder(RequestPriorities.INVALID)));
		assertThat(priorities.outOfRange()).containsExactly("org-2", "route-2", "route70");
		assertThat(priorities.of(route(70, false), "s", holder(RequestPriorities.INVALID))).isEqualTo(9);
		assertThat(priorities.of(route(RequestPriorities.INVALID, false), "s", null))
			.isEqualTo(RequestPriorities.DEFAULT);
	}

	@Test
	void prioritiesOfRequestsToDifferentServicesMakeNoDifference() {
		Route other = new Route("other", "h", "/", RepeatPolicy.STREAM, 1000, 400, 100, 0, 1, false, false,
				List.of(new Route.Share("t", 1)));
		RequestPriorities priorities = RequestPriorities.of(List.of(other, route(2, false)), OpenAccess.INSTANCE);
		assertThat(priorities.areDistinct("s")).isFalse();
		assertThat(priorities.of(other, "t", null)).isEqualTo(RequestPriorities.NONE);
	}

}
