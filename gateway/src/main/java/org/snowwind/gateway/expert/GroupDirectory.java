package org.snowwind.gateway.expert;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.http.client.JsonClient;

/**
 * Finds out which group each rank is in. Confined to one thread, which it blocks.
 *
 * <p>
 * A run of a server stays in its group, so that each is asked only until it has one.
 */
public final class GroupDirectory {

	private final RankCalls calls;

	private final Supplier<List<BackendEntry>> ungrouped;

	private final BiConsumer<String, String> found;

	/**
	 * Creates a directory that has asked nobody.
	 * @param client carries calls to ranks
	 * @param protocol names what is said to ranks
	 * @param ungrouped lists servers whose group is not known
	 * @param found is told the id of a server and the name of its group
	 */
	public GroupDirectory(JsonClient client, RankProtocol protocol, Supplier<List<BackendEntry>> ungrouped,
			BiConsumer<String, String> found) {
		this.calls = RankCalls.of(client, protocol);
		this.ungrouped = ungrouped;
		this.found = found;
	}

	/**
	 * Asks each server whose group is not known.
	 */
	public void round() {
		List<BackendEntry> servers = this.ungrouped.get();
		if (!servers.isEmpty()) {
			this.calls.reports(servers).forEach((rank) -> this.found.accept(rank.serverId(), rank.report().group()));
		}
	}

}
