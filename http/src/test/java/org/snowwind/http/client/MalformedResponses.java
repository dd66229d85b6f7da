package org.snowwind.http.client;

import java.util.ArrayList;
import java.util.List;

/**
 * Responses that break the grammar of HTTP/1.1, and odd ones that a recipient may accept.
 */
final class MalformedResponses {

	/** The content of each response that may be accepted. */
	static final String CONTENT = "{\"a\":1}";

	private static final String STATUS = "HTTP/1.1 200 OK\r\n";

	private static final String LENGTH = "Content-Length: 7\r\n";

	private static final String CODED = "Transfer-Encoding: chunked\r\n";

	private static final String CHUNKED = STATUS + CODED + "\r\n";

	private static final String CHUNK = "7\r\n" + CONTENT + "\r\n";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private MalformedResponses() {
	}

	private static String withStatusLine(String line) {
		return line + "\r\n" + LENGTH + "\r\n" + CONTENT;
	}

	private static String withFields(String fields) {
		return STATUS + fields + LENGTH + "\r\n" + CONTENT;
	}

	private static String withFraming(String fields) {
		return STATUS + fields + "\r\n" + CONTENT;
	}

	private static String withCoding(String fields) {
		return STATUS + fields + "\r\n" + CHUNK + LAST_CHUNK;
	}

	/** Returns responses whose status code has not three digits or not a valid class. */
	static List<String> statusCodes() {
		List<String> responses = new ArrayList<>();
		for (String code : List.of("000", "0", "001", "099", "99", "20", "600", "999", "1000", "2000", "0200", "+200",
				"-200", "2OO", "200OK", "0x0C8", "abc", "\u00b2\u00b0\u00b0", "")) {
			responses.add(withStatusLine("HTTP/1.1 " + code + " OK"));
		}
		responses.add(withStatusLine("HTTP/1.1 000"));
		responses.add(withStatusLine("HTTP/1.1"));
		return responses;
	}

	/** Returns responses of no version of HTTP/1. */
	static List<String> versions() {
		List<String> responses = new ArrayList<>();
		for (String version : List.of("HTTP/9.9", "HTTP/2.0", "HTTP/0.9", "http/1.1", "Http/1.1", "HTTP/1.", "HTTP/1",
				"HTTP/1.10", "HTTP/01.1", "HTTP/1.1x", "HTTPS/1.1", "HTTP 1.1", "ICY", "\0HTTP/1.1")) {
			responses.add(withStatusLine(version + " 200 OK"));
		}
		return responses;
	}

	/** Returns responses whose reason phrase holds a control character. */
	static List<String> reasonPhrases() {
		return List.of(withStatusLine("HTTP/1.1 200 O\0K"), withStatusLine("HTTP/1.1 200 O\u0001K"),
				withStatusLine("HTTP/1.1 200 O\u007fK"));
	}

	/** Returns responses with a field name that is no token. */
	static List<String> fieldNames() {
		List<String> responses = new ArrayList<>();
		for (String line : List.of("X Bad: v", "X\tBad: v", "X-Bad : v", "X-Bad\t: v", "X-\u0001Bad: v", "X-Bad\0: v",
				"X-\u007fBad: v", ": v", "X-Bad", "X(Bad): v", "X-B\u00e4d: v", "X\u000bBad: v", "X\rBad: v")) {
			responses.add(withFields("X-Seal: s\r\n" + line + "\r\n"));
		}
		for (String line : List.of("Content-Length : 7", "Content Length: 7", "Content-Length\t: 7")) {
			responses.add(withFraming(line + "\r\n"));
		}
		for (String line : List.of("Transfer-Encoding : chunked", "Transfer Encoding: chunked",
				"Transfer-Encoding\u0001: chunked")) {
			responses.add(withCoding(line + "\r\n"));
		}
		return responses;
	}

	/** Returns responses that have a blank before the first field. */
	static List<String> leadingBlanks() {
		return List.of(withFields(" X-Bad: v\r\n"), withFields("\tX-Bad: v\r\n"), withFraming(" Content-Length: 7\r\n"),
				withFields(" \r\n"));
	}

	/** Returns responses with a field value that holds a control character. */
	static List<String> fieldValues() {
		return List.of(withFields("X-Bad: a\0b\r\n"), withFields("X-Bad: a\u0001b\r\n"),
				withFields("X-Bad: a\u007fb\r\n"), withFields("X-Bad: a\rb\r\n"), withFields("X-Bad: a\r\n \0b\r\n"));
	}

	/** Returns responses with line ends that are not valid. */
	static List<String> lineEnds() {
		return List.of("HTTP/1.1 200 OK\n" + LENGTH + "\r\n" + CONTENT, STATUS + "Content-Length: 7\n\r\n" + CONTENT,
				STATUS + LENGTH + "\n" + CONTENT);
	}

	/** Returns responses whose length cannot be told. */
	static List<String> contentLengths() {
		List<String> responses = new ArrayList<>();
		for (String value : List.of("+7", "-7", "7, 8", "0x7", "seven", "", "7 7", "7.0", "99999999999999999999",
				"7\r\n ")) {
			responses.add(withFraming("Content-Length: " + value + "\r\n"));
		}
		responses.add(withFraming("Content-Length: 7\r\nContent-Length: 8\r\n"));
		responses.add(withFraming("Content-Length:\r\n 7\r\n"));
		return responses;
	}

	/** Returns responses with a transfer coding that cannot be decoded. */
	static List<String> transferCodings() {
		List<String> responses = new ArrayList<>();
		for (String value : List.of("xchunked", "gzip, chunked", "chunked, gzip", "chunked, chunked", "gzip",
				"identity", "chunked;a=b", "chunked chunked", "\"chunked\"", "")) {
			responses.add(withCoding("Transfer-Encoding: " + value + "\r\n"));
		}
		responses.add(withCoding(CODED + CODED));
		responses.add(withCoding("Transfer-Encoding: gzip\r\n" + CODED));
		responses.add(withFields("Transfer-Encoding: xchunked\r\n"));
		responses.add(withCoding("Transfer-Encoding:\r\n chunked\r\n"));
		responses.add("HTTP/1.0 200 OK\r\n" + CODED + "\r\n" + CHUNK + LAST_CHUNK);
		return responses;
	}

	/** Returns responses with a chunk whose size cannot be told. */
	static List<String> chunkSizes() {
		List<String> responses = new ArrayList<>();
		for (String line : List.of("7 7", "7\0", "+7", "-7", "0x7", "", "g", " 7", "7\u0001", "7;a=\0", "7,",
				"10000000000000007")) {
			responses.add(CHUNKED + line + "\r\n" + CONTENT + "\r\n" + LAST_CHUNK);
		}
		responses.add(CHUNKED + CHUNK + "0 0\r\n\r\n");
		responses.add(CHUNKED + "7\n" + CONTENT + "\r\n" + LAST_CHUNK);
		return responses;
	}

	/** Returns responses with content that goes on where its chunk ends. */
	static List<String> chunkEnds() {
		return List.of(CHUNKED + "7\r\n" + CONTENT + LAST_CHUNK, CHUNKED + "6\r\n" + CONTENT + "\r\n" + LAST_CHUNK,
				CHUNKED + "7\r\n" + CONTENT + "\n" + LAST_CHUNK, CHUNKED + "7\r\n" + CONTENT + "\rx" + LAST_CHUNK);
	}

	/** Returns responses with a trailer that is not valid. */
	static List<String> trailers() {
		List<String> responses = new ArrayList<>();
		for (String line : List.of("X Sum: 1", "X-Sum : 1", "X-\u0001Sum: 1", "X-Sum", ": 1", " X-Sum: 1",
				"X-Sum: \0")) {
			responses.add(CHUNKED + CHUNK + "0\r\n" + line + "\r\n\r\n");
		}
		responses.add(CHUNKED + CHUNK + "0\r\nX-Sum: 1\n\r\n");
		return responses;
	}

	/** Returns valid responses behind an interim response that is not. */
	static List<String> interim() {
		List<String> responses = new ArrayList<>();
		for (String head : List.of("HTTP/1.1 000 X\r\n", "HTTP/1.1 0103 X\r\n", "HTTP/9.9 103 X\r\n",
				"HTTP/1.1 103 X\r\nX Bad: v\r\n", "HTTP/1.1 103 X\r\nX-\u0001Bad: v\r\n",
				"HTTP/1.1 103 X\r\n X-Bad: v\r\n")) {
			responses.add(head + "\r\n" + withFields(""));
		}
		return responses;
	}

	/** Returns all responses that are not valid. */
	static List<String> all() {
		List<String> responses = new ArrayList<>();
		for (List<String> some : List.of(statusCodes(), versions(), reasonPhrases(), fieldNames(), leadingBlanks(),
				fieldValues(), lineEnds(), contentLengths(), transferCodings(), chunkSizes(), chunkEnds(), trailers(),
				interim())) {
			responses.addAll(some);
		}
		return responses;
	}

	/** Returns odd responses with status 200 that a recipient may accept. */
	static List<String> acceptable() {
		List<String> responses = new ArrayList<>();
		for (String line : List.of("HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.2 200 OK",
				"HTTP/1.9 200 OK", "HTTP/1.1\t200\tOK", "HTTP/1.1  200  OK", " HTTP/1.1 200 OK", "HTTP/1.1 200 OK ",
				"HTTP/1.1\u000b200\u000cOK", "HTTP/1.1\r200 OK", "HTTP/1.1 200 not found at all",
				"HTTP/1.1 200 gr\u00fcn", "\r\nHTTP/1.1 200 OK")) {
			responses.add(withStatusLine(line));
		}
		for (String fields : List.of("Server:a\r\n", "Server:\r\n", "Server: \t a \t\r\n", "Server: a\r\n b\r\n\tc\r\n",
				"Server: a\r\nServer: b\r\n", "X-!#$%&'*+.^_`|~9: v\r\n", "Server: gr\u00fcn\r\n",
				"Connection: close\r\n")) {
			responses.add(withFields(fields));
		}
		for (String value : List.of("7", "007", "\t7\t")) {
			responses.add(withFraming("content-LENGTH: " + value + "\r\n"));
		}
		responses.add(withCoding("transfer-encoding: Chunked\r\n"));
		for (String line : List.of("7", "07", "7;a=b", "7;a", "7 ;a=\"b c\"", "7 ", "7;")) {
			responses.add(CHUNKED + line + "\r\n" + CONTENT + "\r\n" + LAST_CHUNK);
		}
		responses.add(CHUNKED + "3\r\n{\"a\r\n4;x\r\n\":1}\r\n00\r\nSum: 1\r\n 2\r\nOther:\r\n\r\n");
		responses.add("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nLink: </a>\r\n\r\n" + withFields(""));
		return responses;
	}

}
