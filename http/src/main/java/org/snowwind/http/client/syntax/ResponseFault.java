package org.snowwind.http.client.syntax;

/**
 * The rules of RFC 9110 and RFC 9112 that a response can break.
 */
public enum ResponseFault {

	/** The status line does not begin with a version of HTTP/1 (RFC 9112, 2.3). */
	HTTP_VERSION,

	/** The status code is not one from 100 to 599 in three digits (RFC 9110, 15). */
	STATUS_CODE,

	/** The reason phrase holds a control character (RFC 9112, 4). */
	REASON_PHRASE,

	/** White space precedes the first field (RFC 9112, 2.2). */
	LEADING_WHITE_SPACE,

	/** A field name is not a token, or no colon follows it (RFC 9112, 5 and 5.1). */
	FIELD_NAME,

	/** A field value holds a control character (RFC 9110, 5.5). */
	FIELD_VALUE,

	/** A line ends without a carriage return (RFC 9112, 2.2). */
	LINE_END,

	/** A line is longer than any that can be decoded. */
	LINE_LENGTH,

	/** The length of the content is not one number (RFC 9112, 6.3). */
	CONTENT_LENGTH,

	/** The transfer coding is not just chunked (RFC 9112, 6.1 and 7). */
	TRANSFER_CODING,

	/** The size or an extension of a chunk is not valid (RFC 9112, 7.1). */
	CHUNK_SIZE,

	/** A chunk does not end after its size (RFC 9112, 7.1). */
	CHUNK_END,

	/** Bytes follow the end of the response (RFC 9112, 6.3). */
	SURPLUS_BYTES,

	/** The response cannot be decoded for another reason. */
	UNDECODABLE

}
