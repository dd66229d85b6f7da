package org.snowwind.gateway.table;

/**
 * Thrown if a document cannot be decoded. A route table that was in force before stays in
 * force; a backend server whose entry cannot be decoded counts as not registered.
 */
public final class DocumentException extends Exception {

	private static final long serialVersionUID = 1;

	/**
	 * Creates the exception.
	 * @param message the invalid field and what is wrong with it
	 */
	public DocumentException(String message) {
		super(message);
	}

	/**
	 * Creates the exception.
	 * @param message what is wrong
	 * @param cause the exception that caused this one
	 */
	public DocumentException(String message, Throwable cause) {
		super(message, cause);
	}

}
