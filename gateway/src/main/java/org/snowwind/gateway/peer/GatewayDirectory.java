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
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.store.ListResult;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WriteResult;

/**
 * Registers this gateway in the platform and discovers the other gateways there. Confined
 * to one thread, which it blocks.
 *
 * <p>
 * Peers normally learn of each other by their reports. The directory is needed only by a
 * gateway if none of its seeds exists any longer.
 */
public final class GatewayDirectory {

	private static final String PREFIX = "gateways/";

	/**
	 * The entry of a gateway is deleted after more than this number of rounds in which
	 * the gateway was not live.
	 */
	private static final int MAX_SILENT_ROUNDS = 8;

	private final ObjectStore store;

	private final String name;

	private final String address;

	private final Consumer<List<String>> addressListener;

	private final Supplier<Set<String>> liveAddresses;

	private final Map<String, Integer> silentRounds = new HashMap<>();

	/**
	 * Creates a directory without making a call.
	 * @param store the platform
	 * @param name the name of this gateway
	 * @param address the control address of this gateway
	 * @param addressListener receives the control addresses of the other registered
	 * gateways
	 * @param liveAddresses provides the control addresses of the live gateways
	 */
	public GatewayDirectory(ObjectStore store, String name, String address, Consumer<List<String>> addressListener,
			Supplier<Set<String>> liveAddresses) {
		this.store = store;
		this.name = name;
		this.address = address;
		this.addressListener = addressListener;
		this.liveAddresses = liveAddresses;
	}

	/**
	 * Lists the other gateways, and writes the own entry if it is missing or outdated.
	 */
	public void refresh() {
		this.store.list(PREFIX).match((listing) -> {
			processListing(listing);
			return true;
		}, (unavailable) -> false);
	}

	private void processListing(ListResult.Listed listing) {
		List<String> addresses = new ArrayList<>();
		Optional<StoredObject> own = Optional.empty();
		Set<String> alive = this.liveAddresses.get();
		Map<String, Integer> silentBefore = Map.copyOf(this.silentRounds);
		this.silentRounds.clear();
		for (StoredObject object : listing.objects()) {
			if (object.key().equals(PREFIX + this.name)) {
				own = Optional.of(object);
				continue;
			}
			String other = addressOf(object);
			int silent = alive.contains(other) ? 0 : silentBefore.getOrDefault(object.key(), 0) + 1;
			if (silent > MAX_SILENT_ROUNDS) {
				// If the gateway is alive nevertheless, it registers again.
				this.store.delete(object.key(), object.revision());
				continue;
			}
			this.silentRounds.put(object.key(), silent);
			if (Addresses.parse(other).isPresent()) {
				addresses.add(other);
			}
		}
		this.addressListener.accept(addresses);
		boolean registered = own.isPresent() && addressOf(own.get()).equals(this.address);
		if (!registered) {
			register(own);
		}
	}

	private static String addressOf(StoredObject object) {
		return (object.value() != null) ? object.value().path("address").asText() : "";
	}

	private void register(Optional<StoredObject> previous) {
		JsonNode value = Json.MAPPER.createObjectNode().put("address", this.address);
		WriteResult result = this.store.put(PREFIX + this.name,
				previous.map(StoredObject::revision).orElse(EraRevision.NONE), value);
		EventLog.log(Event.GATEWAY_REGISTERED, "name", this.name, "address", this.address, "result", result);
	}

}
