package org.snowwind.operator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.snowwind.model.Json;

/**
 * Reads declared resources from TOML or JSON files.
 *
 * <p>
 * A file holds {@code [[resource]]} tables, or one JSON object with an array
 * {@code resource}, each with kind, name and spec.
 */
public final class ResourceFiles {

	private ResourceFiles() {
	}

	/**
	 * Reads files.
	 * @param paths the files
	 * @return the resources in their order
	 * @throws IOException if a file cannot be read or holds no resources
	 */
	public static List<JsonNode> read(List<Path> paths) throws IOException {
		List<JsonNode> resources = new ArrayList<>();
		for (Path path : paths) {
			boolean json = path.toString().endsWith(".json");
			JsonNode root = json ? Json.MAPPER.readTree(path.toFile()) : new TomlMapper().readTree(path.toFile());
			JsonNode found = root.path("resource");
			if (!found.isArray() || found.isEmpty()) {
				throw new IOException(path + ": holds no [[resource]] tables");
			}
			found.forEach(resources::add);
		}
		return resources;
	}

}
