package org.snowwind.gateway.registry;

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

}
