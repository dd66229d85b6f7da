package org.snowwind.gateway.table;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Decodes a route table from the format in which the platform stores it.
 */
public interface TableDecoder {

	/**
	 * Returns the key of the stored object that contains the table.
	 * @return the key
	 */
	String key();

	/**
	 * Decodes a table.
	 * @param document the object's value
	 * @return the table
	 * @throws DocumentException if the document is not a valid table
	 */
	RouteTable decode(JsonNode document) throws DocumentException;

}
