package org.snowwind.app.soak;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.snowwind.platform.standin.Configurations.OrganisationSpec;

/**
 * Organisations whose names are easily confused on the way to servers. Some cannot be
 * sent, so that their keys are not valid.
 */
final class SoakOrganisations {

	private static final Map<String, String> NAMES_BY_KEY = new LinkedHashMap<>();

	static {
		NAMES_BY_KEY.put("key-alpha", "north-\u03b1");
		NAMES_BY_KEY.put("key-beta", "north-\u03b2");
		NAMES_BY_KEY.put("key-question-mark", "north-?");
		NAMES_BY_KEY.put("key-smile", "\ud83d\ude00");
		NAMES_BY_KEY.put("key-grin", "\ud83d\ude01");
		NAMES_BY_KEY.put("key-latin", "caf\u00e9");
		NAMES_BY_KEY.put("key-octets", "caf\u00c3\u00a9");
		NAMES_BY_KEY.put("key-percent", "caf%C3%A9");
	}

	/** Names that cannot be sent; without white space some equal a usable one. */
	private static final Map<String, String> UNUSABLE_NAMES_BY_KEY = Map.of("key-blank", "north-? ", "key-tab",
			"north-?\t", "key-leading", " caf%C3%A9", "key-lines", "a\r\nX-Other: north-?", "key-nul", "a\0",
			"key-empty", "", "key-replaced", "\ufffd");

	private SoakOrganisations() {
	}

	/** Returns the organisations for a configuration. */
	static List<OrganisationSpec> all() {
		return Stream.concat(NAMES_BY_KEY.entrySet().stream(), UNUSABLE_NAMES_BY_KEY.entrySet().stream())
			.map((entry) -> new OrganisationSpec(entry.getValue(), List.of(entry.getKey())))
			.toList();
	}

	static List<String> validKeys() {
		return List.copyOf(NAMES_BY_KEY.keySet());
	}

	static List<String> unusableKeys() {
		return UNUSABLE_NAMES_BY_KEY.keySet().stream().sorted().toList();
	}

	static List<String> allKeys() {
		return Stream.concat(validKeys().stream(), unusableKeys().stream()).toList();
	}

	/**
	 * Returns the organisation as which a request must run.
	 * @param key the key of its caller
	 * @return the name, {@code null} if no request with this key may run
	 */
	static String nameOf(String key) {
		boolean special = NAMES_BY_KEY.containsKey(key) || UNUSABLE_NAMES_BY_KEY.containsKey(key);
		return special ? NAMES_BY_KEY.get(key) : SoakWorld.ORGANISATION;
	}

}
