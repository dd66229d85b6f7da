package org.snowwind.decide.blame;

/**
 * Records that requests with a part in their prompts were at a server when its process
 * ended.
 *
 * @param part the service and the id of the part
 * @param organisation the organisation that sent them; empty if it is not known
 * @param server the incarnation of the server
 * @param round one more than the number of rounds that were known when the earliest of
 * them was sent, so that ends of different rounds are no single event
 * @param depth the position of the part in the prompt, 0 for the first
 */
public record PartEnd(String part, String organisation, String server, int round, int depth) {

}
