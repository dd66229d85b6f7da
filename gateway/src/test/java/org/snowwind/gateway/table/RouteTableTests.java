package org.snowwind.gateway.table;

import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RouteTable}, {@link Route} and {@link TableHolder}.
 */
class RouteTableTests {

	private static Route route(String name, String host, String prefix, Route.Share... shares) {
		return new Route(name, host, prefix, RepeatPolicy.IDEMPOTENT, 1000, 100, 0, 1, 2, false, false,
				List.of(shares));
	}

	private static RouteTable table(long version, CallerAccess access, Route... routes) {
		return new RouteTable(version, List.of(routes), Map.of(), access, new RequestLimits(1, 1), new byte[0]);
	}

	private static String routeName(RouteTable table, String host, String path) {
		return table.route(host, path).map(Route::name).orElse("none");
	}

	@Test
	void longestPrefixOfHostIsChosen() {
		RouteTable table = table(1, OpenAccess.INSTANCE, route("short", "a.example", "/x/"),
				route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/y/z/"));
		assertThat(routeName(table, "a.example", "/x/y/z/1")).isEqualTo("long");
		assertThat(routeName(table, "a.example", "/x/z")).isEqualTo("short");
		assertThat(routeName(table, "b.example", "/x/z")).isEqualTo("none");
		assertThat(routeName(table, "a.example", "/xy")).isEqualTo("none");
	}

	@Test
	void hostIsComparedWithoutPortAndCase() {
		RouteTable table = table(1, OpenAccess.INSTANCE, route("r", "a.example", "/"));
		assertThat(routeName(table, "A.Example:8080", "/q")).isEqualTo("r");
		assertThat(routeName(table, null, "/q")).isEqualTo("none");
	}

	@Test
	void keysAreRequiredOnlyIfOrganisationsAreConfigured() {
		KeyHolder holder = new KeyHolder("org", 1);
		assertThat(table(1, OpenAccess.INSTANCE, route("r", "h", "/")).requiresKeys()).isFalse();
		RouteTable keyed = table(1, new KeyedAccess(List.of(new Organisation(holder, List.of("k"))), List.of()),
				route("r", "h", "/"));
		assertThat(keyed.requiresKeys()).isTrue();
		assertThat(keyed.holderOf("k")).contains(holder);
		assertThat(keyed.holderOf("K")).isEmpty();
	}

	@Test
	void requestsAreSplitByWeight() {
		Route split = route("r", "h", "/", new Route.Share("a", 90), new Route.Share("b", 10), new Route.Share("c", 0));
		Random random = new Random(1);
		int[] drawn = new int[3];
		for (int i = 0; i < 10_000; i++) {
			drawn["abc".indexOf(split.chooseService(random))]++;
		}
		assertThat(drawn[0]).isBetween(8800, 9200);
		assertThat(drawn[1]).isBetween(800, 1200);
		assertThat(drawn[2]).isZero();
	}

	@Test
	void olderTableIsRejected() {
		TableHolder holder = new TableHolder();
		assertThat(holder.offer(table(5, OpenAccess.INSTANCE), "test")).isTrue();
		assertThat(holder.offer(table(4, OpenAccess.INSTANCE), "test")).isFalse();
		assertThat(holder.offer(table(5, OpenAccess.INSTANCE), "test")).isFalse();
		assertThat(holder.current().version()).isEqualTo(5);
		assertThat(holder.offer(table(9, OpenAccess.INSTANCE), "test")).isTrue();
	}

	@Test
	void streamIsRepeatableOnlyIfResumable() {
		Route stream = new Route("s", "h", "/", RepeatPolicy.STREAM, 1, 1, 1, 1, 1, false, false, List.of());
		Route resumable = new Route("s", "h", "/", RepeatPolicy.STREAM, 1, 1, 1, 1, 1, false, true, List.of());
		Route once = new Route("s", "h", "/", RepeatPolicy.AT_MOST_ONCE, 1, 1, 1, 1, 1, false, true, List.of());
		assertThat(stream.repeatable()).isFalse();
		assertThat(resumable.repeatable()).isTrue();
		assertThat(once.repeatable()).isFalse();
	}

}
