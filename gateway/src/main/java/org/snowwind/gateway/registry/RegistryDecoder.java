package org.snowwind.gateway.registry;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.gateway.table.DocumentException;

/**
 * Reads a backend server from the form in which the platform keeps it.
 */
public interface RegistryDecoder {

	/**
	 * Returns the start of the keys below which servers register.
	 * @return the prefix, which ends with a slash
	 */
	String prefix();

	/**
	 * Reads a server.
	 * @param id its id
	 * @param document the object's value
	 * @return the server
	 * @throws DocumentException if the document is no server
	 */
	BackendEntry decode(String id, JsonNode document) throws DocumentException;

}
