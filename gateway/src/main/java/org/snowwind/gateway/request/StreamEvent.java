package org.snowwind.gateway.request;

/**
 * A whole event of a stream.
 *
 * @param id its id; {@code null} if it has none
 * @param bytes the event as the server sent it, with the blank line that ends it
 */
record StreamEvent(String id, byte[] bytes) {

}
