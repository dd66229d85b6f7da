package org.snowwind.gateway.request;

/**
 * A whole event of a stream.
 *
 * @param id its id; {@code null} if it has none
 * @param data whether it carries data, unlike a comment that keeps a connection open
 * @param bytes the event as the server sent it, with the blank line that ends it
 */
record StreamEvent(String id, boolean data, byte[] bytes) {

}
