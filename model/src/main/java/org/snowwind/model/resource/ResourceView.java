package org.snowwind.model.resource;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A resource as the resource API shows it.
 *
 * @param kind the kind's title
 * @param name the name
 * @param generation grows by one with each change of the specification
 * @param revision the platform's revision of its last change
 * @param spec the specification as JSON
 * @param conditions the status
 * @param dataCentres for each data centre what is in force there
 */
public record ResourceView(String kind, String name, long generation, long revision, JsonNode spec,
		List<Condition> conditions, List<DataCentreStatus> dataCentres) {

	/**
	 * Fills absent fields with their defaults.
	 */
	public ResourceView {
		conditions = (conditions != null) ? List.copyOf(conditions) : List.of();
		dataCentres = (dataCentres != null) ? List.copyOf(dataCentres) : List.of();
	}

	/**
	 * Tells whether a condition holds.
	 * @param type the condition
	 * @return true if it is stated and holds
	 */
	public boolean holds(Condition.Type type) {
		return this.conditions.stream().anyMatch((condition) -> condition.type() == type && condition.holds());
	}

	/**
	 * How far one data centre has come.
	 *
	 * @param dataCentre its name
	 * @param revision the lowest revision that a live node there serves by
	 * @param ageMillis how old this knowledge is, in milliseconds
	 * @param waitsFor the node with the lowest revision
	 */
	public record DataCentreStatus(String dataCentre, long revision, long ageMillis, String waitsFor) {

	}

}
