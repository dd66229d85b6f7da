package org.snowwind.app.load;

/**
 * Somebody who calls.
 *
 * @param organisation the organisation's name
 * @param key the organisation's key
 */
public record Caller(String organisation, String key) {

}
