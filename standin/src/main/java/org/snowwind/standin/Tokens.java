package org.snowwind.standin;

/**
 * The answers of stand-in engines, which anyone can recompute and so check.
 */
public final class Tokens {

	private static final int SPREAD = 0x9E3779B9;

	private Tokens() {
	}

	/**
	 * Returns one token of an answer.
	 * @param prompt the prompt
	 * @param index the token's place, from 0
	 * @return the token
	 */
	public static String token(String prompt, int index) {
		int mixed = (prompt.hashCode() + index) * SPREAD;
		return Integer.toHexString(mixed ^ (mixed >>> 15));
	}

	/**
	 * Returns the line that carries one token.
	 * @param prompt the prompt
	 * @param index the token's place, from 0
	 * @return a JSON object and a line feed
	 */
	public static String line(String prompt, int index) {
		return "{\"index\":" + index + ",\"token\":\"" + token(prompt, index) + "\"}\n";
	}

	/**
	 * Returns the line that ends an answer.
	 * @param count how many tokens the answer has
	 * @return a JSON object and a line feed
	 */
	public static String lastLine(int count) {
		return "{\"done\":true,\"tokens\":" + count + "}\n";
	}

	/**
	 * Returns a whole answer.
	 * @param prompt the prompt
	 * @param count how many tokens it has
	 * @return all its lines
	 */
	public static String answer(String prompt, int count) {
		StringBuilder lines = new StringBuilder();
		for (int index = 0; index < count; index++) {
			lines.append(line(prompt, index));
		}
		return lines.append(lastLine(count)).toString();
	}

}
