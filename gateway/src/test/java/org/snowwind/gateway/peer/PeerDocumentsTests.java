package org.snowwind.gateway.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.snowwind.gateway.registry.RegistryHolder;
import org.snowwind.gateway.table.OpenAccess;
import org.snowwind.gateway.table.RequestLimits;
import org.snowwind.gateway.table.RouteTable;
import org.snowwind.gateway.table.TableDecoder;
import org.snowwind.gateway.table.TableHolder;
import org.snowwind.gateway.table.TableWatcher;
import org.snowwind.model.Json;
import org.snowwind.model.ManualClock;
import org.snowwind.wire.generated.GatewayDocument;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PeerDocuments}.
 */
class PeerDocumentsTests {

	private static final String PEER = "10.0.0.2:1";

	static List<String> unknownFields() {
		return List.of("\"x\":1", "\"x\":" + "[".repeat(1100) + "]".repeat(1100), "\"x\":" + "9".repeat(5000),
				"\"x\":1e400", "\"" + "n".repeat(60_000) + "\":0");
	}

	@ParameterizedTest
	@MethodSource("unknownFields")
	void tableThatOneGatewayReadFromTheStoreIsReadByItsPeers(String unknownField) throws IOException {
		Gateway reader = new Gateway();
		Gateway peer = new Gateway();
		String text = "{\"version\":7," + unknownField + "}";
		reader.watcher.offer(Json.readForeign(text.getBytes(StandardCharsets.UTF_8)), "platform");
		peer.documents.accept(GatewayDocument.TABLE, reader.documents.provide(GatewayDocument.TABLE, 0), PEER);
		assertThat(peer.tables.current().version()).isEqualTo(7);
	}

	/**
	 * What one gateway knows.
	 */
	private static final class Gateway {

		private final TableHolder tables = new TableHolder();

		private final TableWatcher watcher = new TableWatcher(new VersionDecoder(), this.tables);

		private final PeerDocuments documents = new PeerDocuments(this.tables, this.watcher,
				new RegistryHolder(new ManualClock(0)), "servers/");

	}

	/**
	 * Decodes only the version of a table.
	 */
	private static final class VersionDecoder implements TableDecoder {

		@Override
		public String key() {
			return "config/main";
		}

		@Override
		public RouteTable decode(JsonNode document) {
			return new RouteTable(document.path("version").asLong(), List.of(), Map.of(), OpenAccess.INSTANCE,
					new RequestLimits(1, 1), document.toString().getBytes(StandardCharsets.UTF_8));
		}

	}

}
