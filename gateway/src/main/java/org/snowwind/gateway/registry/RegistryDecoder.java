package org.snowwind.gateway.registry;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.gateway.table.DocumentException;

/**
 * Decodes a backend server from the format in which the platform stores it.
 */
public interface RegistryDecoder {

	/**
	 * Returns the prefix of the keys under which servers register.
	 * @return the prefix, which ends with a slash
	 */
	String prefix();

	/**
	 * Decodes a server.
	 * @param id the id of the server
	 * @param document the object's value
	 * @return the server
	 * @throws DocumentException if the document is not a valid server
	 */
	BackendEntry decode(String id, JsonNode document) throws DocumentException;

	/**
	 * Checks the cold time of a server. A cold time that cannot be read counts as none
	 * and leaves the entry valid.
	 * @param document the object's value, which is a valid server
	 * @return why the cold time cannot be read, empty if it can or is absent
	 */
	default Optional<String> coldTimeFault(JsonNode document) {
		return Optional.empty();
	}

}
