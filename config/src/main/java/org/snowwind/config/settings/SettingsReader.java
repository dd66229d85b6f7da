package org.snowwind.config.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

/**
 * Reads one TOML file and collects every fault on the way.
 *
 * <p>
 * A getter that meets a fault returns a stand-in value, so that reading goes on and all
 * faults are listed at once. Keys that no getter asked for are faults too.
 */
public final class SettingsReader {

	private static final String ABSENT = "(absent)";

	private final String file;

	private final JsonNode root;

	private final List<SettingsFault> faults = new ArrayList<>();

	private final Set<String> known = new LinkedHashSet<>();

	private SettingsReader(String file, JsonNode root) {
		this.file = file;
		this.root = root;
	}

	/**
	 * Reads settings from a file.
	 * @param <T> the type of the settings
	 * @param path the file
	 * @param mapping makes the settings with this reader's getters
	 * @return the settings or all faults
	 */
	public static <T> SettingsResult<T> read(Path path, Function<SettingsReader, T> mapping) {
		try {
			return read(path.toString(), new TomlMapper().readTree(path.toFile()), mapping);
		}
		catch (IOException ex) {
			String detail = String.valueOf(ex.getMessage()).lines().findFirst().orElse("unreadable");
			SettingsFault fault = new SettingsFault(path.toString(), "(file)", detail, "a readable TOML file",
					"mend the file's syntax or its path");
			return new SettingsResult.Invalid<>(List.of(fault));
		}
	}

	static <T> SettingsResult<T> read(String file, JsonNode root, Function<SettingsReader, T> mapping) {
		SettingsReader reader = new SettingsReader(file, root);
		T settings = mapping.apply(reader);
		reader.faultUnknownKeys();
		return reader.faults.isEmpty() ? new SettingsResult.Valid<>(settings)
				: new SettingsResult.Invalid<>(List.copyOf(reader.faults));
	}

	/**
	 * Reads a text that must be there.
	 * @param key the key with its tables
	 * @return the text
	 */
	public String text(String key) {
		JsonNode node = find(key);
		if (!node.isTextual() || node.asText().isBlank()) {
			fault(key, node, "a text", "set it");
			return "";
		}
		return node.asText();
	}

	/**
	 * Reads a text that has a default.
	 * @param key the key with its tables
	 * @param defaultValue taken when the key is absent
	 * @return the text
	 */
	public String text(String key, String defaultValue) {
		return find(key).isMissingNode() ? defaultValue : text(key);
	}

	/**
	 * Reads a whole number.
	 * @param key the key with its tables
	 * @param defaultValue taken when the key is absent
	 * @param least the least that is allowed
	 * @param most the most that is allowed
	 * @return the number
	 */
	public long number(String key, long defaultValue, long least, long most) {
		JsonNode node = find(key);
		if (node.isMissingNode()) {
			return defaultValue;
		}
		if (!node.isIntegralNumber() || node.asLong() < least || node.asLong() > most) {
			fault(key, node, "a whole number from " + least + " to " + most, "the default is " + defaultValue);
			return defaultValue;
		}
		return node.asLong();
	}

	/**
	 * Reads a number that may have a fraction.
	 * @param key the key with its tables
	 * @param defaultValue taken when the key is absent
	 * @param least the least that is allowed
	 * @param most the most that is allowed
	 * @return the number
	 */
	public double decimal(String key, double defaultValue, double least, double most) {
		JsonNode node = find(key);
		if (node.isMissingNode()) {
			return defaultValue;
		}
		if (!node.isNumber() || node.asDouble() < least || node.asDouble() > most) {
			fault(key, node, "a number from " + least + " to " + most, "the default is " + defaultValue);
			return defaultValue;
		}
		return node.asDouble();
	}

	/**
	 * Reads an address that must be there.
	 * @param key the key with its tables
	 * @return the address
	 */
	public InetSocketAddress address(String key) {
		JsonNode node = find(key);
		return address(key, node);
	}

	/**
	 * Reads a list of addresses.
	 * @param key the key with its tables
	 * @return the addresses, empty when the key is absent
	 */
	public List<InetSocketAddress> addresses(String key) {
		JsonNode node = find(key);
		if (node.isMissingNode()) {
			return List.of();
		}
		if (!node.isArray()) {
			fault(key, node, "a list of IP:PORT", "write [\"10.0.0.1:7102\"]");
			return List.of();
		}
		List<InetSocketAddress> addresses = new ArrayList<>();
		node.forEach((element) -> addresses.add(address(key, element)));
		return List.copyOf(addresses);
	}

	private InetSocketAddress address(String key, JsonNode node) {
		return Addresses.parse(node.asText("")).orElseGet(() -> {
			fault(key, node, "IP:PORT", "write an IP number and a port, for example 10.0.0.1:7100");
			return InetSocketAddress.createUnresolved("invalid", 0);
		});
	}

	/**
	 * Reads a list of texts.
	 * @param key the key with its tables
	 * @return the texts, empty when the key is absent
	 */
	public List<String> texts(String key) {
		JsonNode node = find(key);
		if (node.isMissingNode()) {
			return List.of();
		}
		List<String> texts = new ArrayList<>();
		node.forEach((element) -> texts.add(element.isTextual() ? element.textValue() : ""));
		if (!node.isArray() || texts.contains("")) {
			fault(key, node, "a list of texts", "write [\"places\"]");
			return List.of();
		}
		return List.copyOf(texts);
	}

	/**
	 * Reads one of the constants of an enum.
	 * @param <E> the enum
	 * @param key the key with its tables
	 * @param defaultValue taken when the key is absent
	 * @return the constant
	 */
	public <E extends Enum<E>> E oneOf(String key, E defaultValue) {
		JsonNode node = find(key);
		if (node.isMissingNode()) {
			return defaultValue;
		}
		E[] constants = defaultValue.getDeclaringClass().getEnumConstants();
		List<String> names = new ArrayList<>();
		for (E constant : constants) {
			String name = constant.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
			if (name.equals(node.asText())) {
				return constant;
			}
			names.add(name);
		}
		fault(key, node, "one of " + String.join(", ", names), "choose one of them");
		return defaultValue;
	}

	/**
	 * Reads the tables of an array of tables.
	 * @param <T> the type of one
	 * @param key the key of the array
	 * @param mapping makes one from a reader of its table
	 * @return what was made
	 */
	public <T> List<T> tables(String key, Function<SettingsReader, T> mapping) {
		JsonNode node = find(key);
		if (node.isMissingNode()) {
			return List.of();
		}
		if (!node.isArray()) {
			fault(key, node, "tables [[" + key + "]]", "write one [[" + key + "]] for each");
			return List.of();
		}
		List<T> made = new ArrayList<>();
		for (int i = 0; i < node.size(); i++) {
			SettingsReader table = new SettingsReader(this.file, node.get(i));
			made.add(mapping.apply(table));
			table.faultUnknownKeys();
			String prefix = key + "[" + i + "].";
			table.faults.forEach((fault) -> this.faults.add(new SettingsFault(fault.file(), prefix + fault.key(),
					fault.value(), fault.allowed(), fault.remedy())));
		}
		return List.copyOf(made);
	}

	/**
	 * Adds a fault that a getter cannot see.
	 * @param key the key with its tables
	 * @param value what stands there
	 * @param allowed what may stand there
	 * @param remedy what to do
	 */
	public void fault(String key, String value, String allowed, String remedy) {
		this.faults.add(new SettingsFault(this.file, key, value, allowed, remedy));
	}

	private void fault(String key, JsonNode node, String allowed, String remedy) {
		fault(key, node.isMissingNode() ? ABSENT : node.toString(), allowed, remedy);
	}

	private JsonNode find(String key) {
		this.known.add(key);
		JsonNode node = this.root;
		for (String part : key.split("\\.")) {
			node = node.path(part);
		}
		return node;
	}

	private void faultUnknownKeys() {
		Map<String, JsonNode> present = new LinkedHashMap<>();
		flatten("", this.root, present);
		present.forEach((key, node) -> {
			if (!this.known.contains(key)) {
				String nearest = NearestName.of(key, this.known);
				fault(key, node, "no such key", "did you mean " + nearest + "?");
			}
		});
	}

	private void flatten(String prefix, JsonNode node, Map<String, JsonNode> into) {
		if (!node.isObject() || node instanceof MissingNode) {
			into.put(prefix, node);
			return;
		}
		for (Map.Entry<String, JsonNode> field : node.properties()) {
			String key = prefix.isEmpty() ? field.getKey() : prefix + "." + field.getKey();
			flatten(key, field.getValue(), into);
		}
	}

}
