package org.snowwind.config.settings;

import java.util.List;
import java.util.function.Function;

/**
 * Settings, or everything that is wrong with them.
 *
 * @param <T> the type of the settings
 */
public sealed interface SettingsResult<T> permits SettingsResult.Valid, SettingsResult.Invalid {

	/**
	 * Handles each case.
	 * @param <R> the type of what comes out
	 * @param onValid handles settings
	 * @param onInvalid handles faults
	 * @return what the handler returns
	 */
	<R> R match(Function<T, R> onValid, Function<List<SettingsFault>, R> onInvalid);

	/**
	 * Valid settings.
	 *
	 * @param <T> the type of the settings
	 * @param settings the settings
	 */
	record Valid<T>(T settings) implements SettingsResult<T> {

		@Override
		public <R> R match(Function<T, R> onValid, Function<List<SettingsFault>, R> onInvalid) {
			return onValid.apply(this.settings);
		}

	}

	/**
	 * Invalid settings.
	 *
	 * @param <T> the type that the settings would have
	 * @param faults all faults, at least one
	 */
	record Invalid<T>(List<SettingsFault> faults) implements SettingsResult<T> {

		@Override
		public <R> R match(Function<T, R> onValid, Function<List<SettingsFault>, R> onInvalid) {
			return onInvalid.apply(this.faults);
		}

	}

}
