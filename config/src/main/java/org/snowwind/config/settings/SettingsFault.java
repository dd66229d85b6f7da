package org.snowwind.config.settings;

/**
 * One thing that is wrong with a settings file.
 *
 * @param file the file
 * @param key the key with its tables, for example {@code listen.callers}
 * @param value what stands there, {@code (absent)} if nothing does
 * @param allowed what may stand there
 * @param remedy what to do
 */
public record SettingsFault(String file, String key, String value, String allowed, String remedy) {

	@Override
	public String toString() {
		return this.file + ": " + this.key + " = " + this.value + ": allowed is " + this.allowed + "; " + this.remedy;
	}

}
