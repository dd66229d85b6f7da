package org.snowwind.gateway.evacuation;

import org.snowwind.model.EraRevision;

/**
 * What is known of the evacuation of a data centre.
 *
 * @param dataCentre the name of the data centre
 * @param revision the position in the store at which the evacuation was requested or, if
 * it has ended, at which its end was seen
 * @param ended whether the evacuation has ended
 */
public record Evacuation(String dataCentre, EraRevision revision, boolean ended) {

}
