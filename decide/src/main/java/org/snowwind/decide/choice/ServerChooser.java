package org.snowwind.decide.choice;

import java.util.List;
import java.util.Optional;

/**
 * Chooses a server.
 */
@FunctionalInterface
public interface ServerChooser {

	/**
	 * Chooses one of the servers.
	 * @param candidates servers that may be offered the request
	 * @param affinityHash a hash of what the request shares with others, such as its
	 * prompt's start
	 * @return the server, or empty if there are none
	 */
	Optional<ServerView> choose(List<ServerView> candidates, long affinityHash);

}
