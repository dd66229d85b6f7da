/**
 * Reads rate limits, delays and departures that backend servers announce in the heads of
 * their responses.
 */
package org.snowwind.decide.notice;
