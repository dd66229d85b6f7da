package org.snowwind.gateway.table;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link KeyedAccess} and {@link OpenAccess}.
 */
class KeyedAccessTests {

	private static Organisation organisation(String name, String... keys) {
		return new Organisation(new KeyHolder(name, RequestPriorities.NONE), List.of(keys));
	}

	@Test
	void keyIsRequiredHoweverManyKeysThereAre() {
		assertThat(new KeyedAccess(List.of(), List.of()).requiresKey()).isTrue();
		assertThat(new KeyedAccess(List.of(organisation("a")), List.of()).requiresKey()).isTrue();
		assertThat(new KeyedAccess(List.of(organisation("a", "k")), List.of()).requiresKey()).isTrue();
		assertThat(OpenAccess.INSTANCE.requiresKey()).isFalse();
	}

	@Test
	void keyBelongsToItsOrganisationOnly() {
		KeyedAccess access = new KeyedAccess(List.of(organisation("a", "k", "l"), organisation("b", "m")), List.of());
		assertThat(access.holderOf("l").orElseThrow().organisation()).isEqualTo("a");
		assertThat(access.holderOf("m").orElseThrow().organisation()).isEqualTo("b");
		assertThat(access.holderOf("n")).isEmpty();
		assertThat(OpenAccess.INSTANCE.holderOf("k")).isEmpty();
	}

	@Test
	void organisationWithoutAKeyIsListed() {
		KeyedAccess access = new KeyedAccess(List.of(organisation("a"), organisation("b", "k")), List.of());
		assertThat(access.organisations()).extracting(KeyHolder::organisation).containsExactly("a", "b");
	}

}
