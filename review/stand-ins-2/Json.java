import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: maps, lists, text, numbers, true, false and null. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object read(String text) {
		return new Json(text).value();
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> map(Object value) {
		return (Map<String, Object>) value;
	}

	static Map<String, Object> of(Object... pairs) {
		Map<String, Object> map = new LinkedHashMap<>();
		for (int i = 0; i < pairs.length; i += 2) {
			map.put((String) pairs[i], pairs[i + 1]);
		}
		return map;
	}

	static String write(Object value) {
		StringBuilder out = new StringBuilder();
		write(value, out);
		return out.toString();
	}

	private static void write(Object value, StringBuilder out) {
		if (value instanceof Map<?, ?> map) {
			String mark = "{";
			for (Map.Entry<?, ?> entry : map.entrySet()) {
				out.append(mark);
				quote((String) entry.getKey(), out);
				out.append(':');
				write(entry.getValue(), out);
				mark = ",";
			}
			out.append(map.isEmpty() ? "{}" : "}");
		}
		else if (value instanceof List<?> list) {
			String mark = "[";
			for (Object item : list) {
				out.append(mark);
				write(item, out);
				mark = ",";
			}
			out.append(list.isEmpty() ? "[]" : "]");
		}
		else if (value instanceof String string) {
			quote(string, out);
		}
		else {
			out.append(value);
		}
	}

	private static void quote(String string, StringBuilder out) {
		out.append('"');
		for (char character : string.toCharArray()) {
			if (character == '"' || character == '\\') {
				out.append('\\').append(character);
			}
			else if (character < ' ') {
				out.append(String.format("\\u%04x", (int) character));
			}
			else {
				out.append(character);
			}
		}
		out.append('"');
	}

	private char next() {
		while (Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
		return this.text.charAt(this.at);
	}

	private Object value() {
		char first = next();
		if (first == '{') {
			Map<String, Object> map = new LinkedHashMap<>();
			this.at++;
			while (next() != '}') {
				if (next() == ',') {
					this.at++;
				}
				next();
				String name = string();
				if (next() != ':') {
					throw new IllegalArgumentException("expected a colon at " + this.at);
				}
				this.at++;
				map.put(name, value());
			}
			this.at++;
			return map;
		}
		if (first == '[') {
			List<Object> list = new ArrayList<>();
			this.at++;
			while (next() != ']') {
				if (next() == ',') {
					this.at++;
				}
				list.add(value());
			}
			this.at++;
			return list;
		}
		if (first == '"') {
			return string();
		}
		int start = this.at;
		while (this.at < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(start, this.at);
		return switch (word) {
			case "true" -> Boolean.TRUE;
			case "false" -> Boolean.FALSE;
			case "null" -> null;
			default -> number(word);
		};
	}

	private static Object number(String word) {
		if (word.chars().allMatch((c) -> c == '-' || Character.isDigit(c))) {
			return Long.parseLong(word);
		}
		return Double.parseDouble(word);
	}

	private String string() {
		StringBuilder out = new StringBuilder();
		this.at++;
		char character = this.text.charAt(this.at);
		while (character != '"') {
			if (character == '\\') {
				this.at++;
				char escaped = this.text.charAt(this.at);
				switch (escaped) {
					case 'n' -> out.append('\n');
					case 't' -> out.append('\t');
					case 'r' -> out.append('\r');
					case 'b' -> out.append('\b');
					case 'f' -> out.append('\f');
					case 'u' -> {
						out.append((char) Integer.parseInt(this.text.substring(this.at + 1, this.at + 5), 16));
						this.at += 4;
					}
					default -> out.append(escaped);
				}
			}
			else {
				out.append(character);
			}
			this.at++;
			character = this.text.charAt(this.at);
		}
		this.at++;
		return out.toString();
	}

}
