package org.snowwind.gateway.peer;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.snowwind.gateway.registry.Registry;
import org.snowwind.gateway.registry.RegistryHolder;
import org.snowwind.gateway.table.RouteTable;
import org.snowwind.gateway.table.TableHolder;
import org.snowwind.gateway.table.TableWatcher;
import org.snowwind.model.Json;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.wire.generated.ConfigDocument;
import org.snowwind.wire.generated.GatewayDocument;

/**
 * The documents that gateways exchange when the platform does not deliver them.
 */
public final class PeerDocuments {

	private static final ConfigDocument NOTHING_NEWER = new ConfigDocument(0, ByteBuffer.allocate(0));

	private final TableHolder tables;

	private final TableWatcher tableReader;

	private final RegistryHolder registries;

	private final String registryPrefix;

	/**
	 * Creates the documents of this gateway.
	 * @param tables the holder of the table in force
	 * @param tableReader decodes and applies tables of peers
	 * @param registries the holder of the newest registry
	 * @param registryPrefix the key prefix of the stored objects that make up the
	 * registry
	 */
	public PeerDocuments(TableHolder tables, TableWatcher tableReader, RegistryHolder registries,
			String registryPrefix) {
		this.tables = tables;
		this.tableReader = tableReader;
		this.registries = registries;
		this.registryPrefix = registryPrefix;
	}

	String registryPrefix() {
		return this.registryPrefix;
	}

	long revisionOf(GatewayDocument kind) {
		return (kind == GatewayDocument.TABLE) ? this.tables.current().version()
				: this.registries.current().revision().toLong();
	}

	/**
	 * Returns a document for a peer.
	 * @param kind which document
	 * @param haveRevision the revision that the peer has
	 * @return the document, an empty one if the peer's is at least as new
	 */
	ConfigDocument provide(GatewayDocument kind, long haveRevision) {
		if (revisionOf(kind) <= haveRevision) {
			return NOTHING_NEWER.deepCopy();
		}
		if (kind == GatewayDocument.TABLE) {
			RouteTable table = this.tables.current();
			return new ConfigDocument(table.version(), ByteBuffer.wrap(table.document()));
		}
		Registry registry = this.registries.current();
		return new ConfigDocument(registry.revision().toLong(), ByteBuffer.wrap(encode(registry)));
	}

	private static byte[] encode(Registry registry) {
		try {
			return Json.MAPPER.writeValueAsBytes(registry);
		}
		catch (IOException ex) {
			throw new IllegalStateException("a registry always serializes", ex);
		}
	}

	/**
	 * Applies the document of a peer, unless it is empty or not newer than the own one.
	 * @param kind which document
	 * @param document the document
	 * @param peer the peer's address, for the log
	 */
	void accept(GatewayDocument kind, ConfigDocument document, String peer) {
		if (document.getDocument().length == 0) {
			return;
		}
		try {
			if (kind == GatewayDocument.TABLE) {
				this.tableReader.offer(Json.readForeign(document.getDocument()), "peer " + peer);
				return;
			}
			Registry registry = Json.MAPPER.readValue(document.getDocument(), Registry.class);
			if (this.registries.offer(registry)) {
				EventLog.log(Event.REGISTRY_FROM_PEER, "registry", registry.revision(), "peer", peer);
			}
		}
		catch (IOException ex) {
			EventLog.log(Event.INTERNAL_FAULT, ex, "where", "document of peer " + peer);
		}
	}

}
