package org.snowwind.gateway.table;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads a route table from the form in which the platform keeps it.
 */
public interface TableDecoder {

	/**
	 * Returns the key of the object that holds the table.
	 * @return the key
	 */
	String key();

	/**
	 * Reads a table.
	 * @param document the object's value
	 * @return the table
	 * @throws DocumentException if the document is no table
	 */
	RouteTable decode(JsonNode document) throws DocumentException;

}
