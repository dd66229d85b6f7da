package org.snowwind.gateway.evacuation;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.gateway.table.DocumentException;

/**
 * Decodes the request to evacuate a data centre from the format in which the platform
 * stores it.
 */
public interface EvacuationDecoder {

	/**
	 * Returns the prefix of the keys of evacuations, which the name of the data centre
	 * follows.
	 * @return the prefix, which ends with a slash
	 */
	String prefix();

	/**
	 * Checks the document of an evacuation.
	 * @param dataCentre the name of the data centre
	 * @param document the object's value
	 * @return the names of fields that are not known and have no effect
	 * @throws DocumentException if the document requests no evacuation
	 */
	List<String> decode(String dataCentre, JsonNode document) throws DocumentException;

}
