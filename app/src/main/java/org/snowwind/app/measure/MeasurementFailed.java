package org.snowwind.app.measure;

/**
 * A measurement could not be made.
 */
public final class MeasurementFailed extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the error.
	 * @param message what did not work and what to do
	 */
	public MeasurementFailed(String message) {
		super(message);
	}

	/**
	 * Creates the error.
	 * @param message what did not work and what to do
	 * @param cause why
	 */
	public MeasurementFailed(String message, Throwable cause) {
		super(message, cause);
	}

}
