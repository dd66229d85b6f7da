package org.snowwind.gateway.table;

import java.util.List;

/**
 * A configured organisation.
 *
 * @param holder its name and priority
 * @param keys its API keys in the form of header values, one character for each octet of
 * UTF-8; empty if it may not send requests
 */
public record Organisation(KeyHolder holder, List<String> keys) {

	/**
	 * Copies the keys.
	 */
	public Organisation {
		keys = List.copyOf(keys);
	}

	String name() {
		return this.holder.organisation();
	}

}
