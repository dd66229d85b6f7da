package org.snowwind.decide.choice;

import java.util.List;
import java.util.Optional;

/**
 * Strategy that chooses the server for a request.
 */
@FunctionalInterface
public interface ServerChooser {

	/**
	 * Chooses one of the candidates.
	 * @param candidates the servers to which the request may be sent
	 * @param affinityHash a hash of what the request shares with other requests, such as
	 * the prefix of its prompt
	 * @return the server, or empty if there are no candidates
	 */
	Optional<ServerView> choose(List<ServerView> candidates, long affinityHash);

}
