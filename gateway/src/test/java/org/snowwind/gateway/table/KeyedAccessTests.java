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

	@Test
	void keyOfTwoOrganisationsIsValidForNeither() {
		KeyedAccess access = new KeyedAccess(
				List.of(organisation("a", "k", "l"), organisation("b", "m", "k"), organisation("c", "n")), List.of());
		assertThat(access.holderOf("k")).isEmpty();
		assertThat(access.holderOf("l").orElseThrow().organisation()).isEqualTo("a");
		assertThat(access.holderOf("m").orElseThrow().organisation()).isEqualTo("b");
		assertThat(access.faults()).extracting(AccessFault::organisation).containsExactly("a", "b");
	}

	@Test
	void keyThatIsListedTwiceForOneNameIsValid() {
		KeyedAccess access = new KeyedAccess(List.of(organisation("a", "k", "k"), organisation("a", "k")), List.of());
		assertThat(access.holderOf("k").orElseThrow().organisation()).isEqualTo("a");
		assertThat(access.faults()).isEmpty();
	}

	@Test
	void keyOfAnOrganisationThatIsLeftOutIsNotTakenForAnother() {
		KeyedAccess access = new KeyedAccess(List.of(organisation("a", "k", "l")),
				List.of(new AccessFault("b", "a reason", List.of("k"))));
		assertThat(access.holderOf("k")).isEmpty();
		assertThat(access.holderOf("l").orElseThrow().organisation()).isEqualTo("a");
		assertThat(access.faults()).extracting(AccessFault::organisation).containsExactly("b");
	}

}
