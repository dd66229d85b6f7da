package org.snowwind.gateway.table;

/**
 * A document of the platform cannot be understood; what was in force stays.
 */
public final class DocumentException extends Exception {

	private static final long serialVersionUID = 1;

	/**
	 * Creates the exception.
	 * @param message what is wrong with which field
	 */
	public DocumentException(String message) {
		super(message);
	}

	/**
	 * Creates the exception.
	 * @param message what is wrong
	 * @param cause what was thrown
	 */
	public DocumentException(String message, Throwable cause) {
		super(message, cause);
	}

}
