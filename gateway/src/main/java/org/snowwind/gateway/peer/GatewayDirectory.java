package org.snowwind.gateway.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.config.settings.Addresses;
import org.snowwind.model.Json;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.store.ListResult;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WriteResult;

/**
 * Registers this gateway in the platform and finds the others there. Confined to one
 * thread, which it blocks.
 *
 * <p>
 * Peers tell each other of peers; this is only for a gateway whose seeds are all gone.
 */
public final class GatewayDirectory {

	private static final String PREFIX = "gateways/";

	private final ObjectStore store;

	private final String name;

	private final String address;

	private final Consumer<List<String>> found;

	private boolean registered;

	/**
	 * Creates a directory that has made no call.
	 * @param store the platform
	 * @param name the own name
	 * @param address the own control address
	 * @param found is told where gateways may be
	 */
	public GatewayDirectory(ObjectStore store, String name, String address, Consumer<List<String>> found) {
		this.store = store;
		this.name = name;
		this.address = address;
		this.found = found;
	}

	/**
	 * Lists the others and, if the own entry is missing or old, writes it.
	 */
	public void round() {
		this.store.list(PREFIX).match((listing) -> {
			use(listing);
			return true;
		}, (none) -> false);
	}

	private void use(ListResult.Listed listing) {
		List<String> addresses = new ArrayList<>();
		Optional<StoredObject> own = Optional.empty();
		for (StoredObject object : listing.objects()) {
			if (object.key().equals(PREFIX + this.name)) {
				own = Optional.of(object);
				continue;
			}
			String other = addressOf(object);
			if (Addresses.parse(other).isPresent()) {
				addresses.add(other);
			}
		}
		this.found.accept(addresses);
		if (!this.registered) {
			register(own);
		}
	}

	private static String addressOf(StoredObject object) {
		return (object.value() != null) ? object.value().path("address").asText() : "";
	}

	private void register(Optional<StoredObject> standing) {
		if (standing.isPresent() && addressOf(standing.get()).equals(this.address)) {
			this.registered = true;
			return;
		}
		JsonNode value = Json.MAPPER.createObjectNode().put("address", this.address);
		WriteResult result = this.store.put(PREFIX + this.name, standing.map(StoredObject::revision).orElse(0L), value);
		this.registered = result instanceof WriteResult.Written;
		EventLog.log(Event.GATEWAY_REGISTERED, "name", this.name, "address", this.address, "result", result);
	}

}
