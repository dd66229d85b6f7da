package org.snowwind.gateway.evacuation;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;

import org.snowwind.gateway.registry.RegistryDecoder;
import org.snowwind.gateway.table.DocumentException;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;
import org.snowwind.store.GetResult;
import org.snowwind.store.ListResult;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WriteResult;

/**
 * The evacuations that the platform's store holds, for operators, who are their only
 * writers. Blocks.
 */
public final class EvacuationArchive {

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,119}");

	private final ObjectStore store;

	private final RegistryDecoder servers;

	private final String prefix;

	/**
	 * Creates an archive.
	 * @param store the platform's store
	 * @param servers decodes registered servers
	 * @param prefix the prefix of the keys of evacuations, which ends with a slash
	 */
	public EvacuationArchive(ObjectStore store, RegistryDecoder servers, String prefix) {
		this.store = store;
		this.servers = servers;
		this.prefix = prefix;
	}

	/**
	 * Returns whether a data centre may have a name.
	 * @param dataCentre the name
	 * @return whether a key of the store can hold it
	 */
	public static boolean isValidName(String dataCentre) {
		return NAME.matcher(dataCentre).matches();
	}

	/**
	 * Lists the data centres whose evacuation the store holds.
	 * @return their names in the store's order, empty if the store does not answer
	 */
	public Optional<List<String>> list() {
		return objects(this.prefix).map((objects) -> objects.stream()
			.filter((object) -> !object.deleted())
			.map((object) -> object.key().substring(this.prefix.length()))
			.toList());
	}

	/**
	 * Requests the evacuation of a data centre.
	 * @param dataCentre its name
	 * @param force whether to request it also if no server is registered there
	 * @return the outcome
	 */
	public EvacuationOutcome begin(String dataCentre, boolean force) {
		if (!isValidName(dataCentre)) {
			return EvacuationOutcome.INVALID_NAME;
		}
		if (!force) {
			Optional<List<StoredObject>> registered = objects(this.servers.prefix());
			if (registered.isEmpty()) {
				return EvacuationOutcome.NOT_WRITTEN;
			}
			if (registered.get().stream().noneMatch((server) -> runsIn(server, dataCentre))) {
				return EvacuationOutcome.NO_SERVERS;
			}
		}
		WriteResult result = this.store.put(this.prefix + dataCentre, EraRevision.NONE, Json.MAPPER.createObjectNode());
		return outcome(result, (actual) -> EvacuationOutcome.ALREADY_BEGUN);
	}

	/**
	 * Ends the evacuation of a data centre.
	 * @param dataCentre its name
	 * @return the outcome
	 */
	public EvacuationOutcome end(String dataCentre) {
		if (!isValidName(dataCentre)) {
			return EvacuationOutcome.INVALID_NAME;
		}
		GetResult current = this.store.get(this.prefix + dataCentre);
		return current.match(
				(object) -> outcome(this.store.delete(object.key(), object.revision()),
						(actual) -> (actual.number() == 0) ? EvacuationOutcome.NOT_BEGUN
								: EvacuationOutcome.CHANGED_MEANWHILE),
				() -> EvacuationOutcome.NOT_BEGUN, (reason) -> EvacuationOutcome.NOT_WRITTEN);
	}

	private static EvacuationOutcome outcome(WriteResult result, Function<EraRevision, EvacuationOutcome> onConflict) {
		return result.match(new WriteResult.Cases<>((written) -> EvacuationOutcome.DONE, onConflict,
				(reason) -> EvacuationOutcome.NOT_WRITTEN, (reason) -> EvacuationOutcome.UNCERTAIN));
	}

	private Optional<List<StoredObject>> objects(String keys) {
		return this.store.list(keys)
			.match((listed) -> Optional.of(listed.objects()), (ListResult.Away away) -> Optional.empty());
	}

	private boolean runsIn(StoredObject server, String dataCentre) {
		try {
			String id = server.key().substring(this.servers.prefix().length());
			return this.servers.decode(id, server.value()).dataCentre().equals(dataCentre);
		}
		catch (DocumentException ex) {
			// Gateways log an invalid entry and send nothing there.
			return false;
		}
	}

}
