package org.snowwind.app.logging;

import java.util.logging.LogManager;

/**
 * A log manager that still logs while the process stops.
 *
 * <p>
 * The platform's own drops all handlers as soon as a stop begins, and with them every
 * event of the drain.
 */
public final class LastingLogManager extends LogManager {

	@Override
	public void reset() {
		// Handlers stay until the process ends.
	}

}
