package org.snowwind.gateway.table;

import java.util.List;
import java.util.Optional;

/**
 * The access under a configuration without organisations: requests need no key.
 */
public final class OpenAccess implements CallerAccess {

	/** The only instance. */
	public static final OpenAccess INSTANCE = new OpenAccess();

	private OpenAccess() {
	}

	@Override
	public boolean requiresKey() {
		return false;
	}

	@Override
	public Optional<KeyHolder> holderOf(String key) {
		return Optional.empty();
	}

	@Override
	public List<KeyHolder> organisations() {
		return List.of();
	}

	@Override
	public List<AccessFault> faults() {
		return List.of();
	}

}
