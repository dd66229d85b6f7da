package org.snowwind.gateway.suspect;

import java.util.List;

/**
 * A request that was at a server when its attempt broke.
 *
 * @param digest what it has in common with others of the same work
 * @param organisation whose it is, empty if nobody's
 * @param parts the shared parts of its prompt, in the order of the prompt
 * @param ageMillis how long it was there, in milliseconds
 */
public record Suspect(String digest, String organisation, List<SuspectPart> parts, long ageMillis) {

}
