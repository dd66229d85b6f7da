package org.snowwind.gateway.table;

import java.util.List;

/**
 * Why an organisation cannot send requests, or not with all its keys.
 *
 * @param organisation the name of the organisation, or its position if it has none
 * @param reason what was expected and what was found; never a key
 * @param withheldKeys the keys that nobody may use because of it
 */
public record AccessFault(String organisation, String reason, List<String> withheldKeys) {

	/**
	 * Copies the keys.
	 */
	public AccessFault {
		withheldKeys = List.copyOf(withheldKeys);
	}

	/**
	 * Returns the organisation and the reason.
	 * @return a text without keys
	 */
	@Override
	public String toString() {
		return this.organisation + ": " + this.reason;
	}

}
