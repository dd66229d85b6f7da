package org.snowwind.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

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

	/** After so many rounds without a word from a gateway its entry is deleted. */
	private static final int FORGET_ROUNDS = 8;

	private final ObjectStore store;

	private final String name;

	private final String address;

	private final Consumer<List<String>> found;

	private final Supplier<Set<String>> alive;

	private final Map<String, Integer> silentRounds = new HashMap<>();

	/**
	 * Creates a directory that has made no call.
	 * @param store the platform
	 * @param name the own name
	 * @param address the own control address
	 * @param found is told where gateways may be
	 * @param alive lists the control addresses of gateways that answer
	 */
	public GatewayDirectory(ObjectStore store, String name, String address, Consumer<List<String>> found,
			Supplier<Set<String>> alive) {
		this.store = store;
		this.name = name;
		this.address = address;
		this.found = found;
		this.alive = alive;
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
		Set<String> alive = this.alive.get();
		Map<String, Integer> silentBefore = Map.copyOf(this.silentRounds);
		this.silentRounds.clear();
		for (StoredObject object : listing.objects()) {
			if (object.key().equals(PREFIX + this.name)) {
				own = Optional.of(object);
				continue;
			}
			String other = addressOf(object);
			int silent = alive.contains(other) ? 0 : silentBefore.getOrDefault(object.key(), 0) + 1;
			if (silent > FORGET_ROUNDS) {
				// A gateway that lives after all registers again.
				this.store.delete(object.key(), object.revision());
				continue;
			}
			this.silentRounds.put(object.key(), silent);
			if (Addresses.parse(other).isPresent()) {
				addresses.add(other);
			}
		}
		this.found.accept(addresses);
		boolean standing = own.isPresent() && addressOf(own.get()).equals(this.address);
		if (!standing) {
			register(own);
		}
	}

	private static String addressOf(StoredObject object) {
		return (object.value() != null) ? object.value().path("address").asText() : "";
	}

	private void register(Optional<StoredObject> standing) {
		JsonNode value = Json.MAPPER.createObjectNode().put("address", this.address);
		WriteResult result = this.store.put(PREFIX + this.name, standing.map(StoredObject::revision).orElse(0L), value);
		EventLog.log(Event.GATEWAY_REGISTERED, "name", this.name, "address", this.address, "result", result);
	}

}
