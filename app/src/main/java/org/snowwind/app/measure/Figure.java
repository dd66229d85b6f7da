package org.snowwind.app.measure;

import java.util.Locale;

/**
 * One measured figure.
 *
 * @param name what was measured
 * @param value the figure
 * @param unit its unit
 * @param baseline the same of the baseline in the same run, {@code null} if there is none
 * @param target what it should be, {@code null} if nothing is asked
 */
public record Figure(String name, double value, String unit, Double baseline, Target target) {

	/**
	 * Creates a figure without baseline and target.
	 * @param name what was measured
	 * @param value the figure
	 * @param unit its unit
	 * @return the figure
	 */
	public static Figure of(String name, double value, String unit) {
		return new Figure(name, value, unit, null, null);
	}

	/**
	 * Returns the figure with its baseline.
	 * @param other the same of the baseline
	 * @return a new figure
	 */
	public Figure against(double other) {
		return new Figure(this.name, this.value, this.unit, other, this.target);
	}

	/**
	 * Returns the figure with an upper bound.
	 * @param bound the most that it should be
	 * @return a new figure
	 */
	public Figure atMost(double bound) {
		return new Figure(this.name, this.value, this.unit, this.baseline, new Target(Direction.AT_MOST, bound));
	}

	/**
	 * Returns the figure with a lower bound.
	 * @param bound the least that it should be
	 * @return a new figure
	 */
	public Figure atLeast(double bound) {
		return new Figure(this.name, this.value, this.unit, this.baseline, new Target(Direction.AT_LEAST, bound));
	}

	/**
	 * Tells whether the target holds.
	 * @return true if it holds or there is none
	 */
	public boolean met() {
		return this.target == null || this.target.holds(this.value);
	}

	/**
	 * Renders a number with three significant digits.
	 * @param number the number
	 * @return the text
	 */
	public static String render(double number) {
		if (number == Math.rint(number) && Math.abs(number) < 1e9) {
			return Long.toString((long) number);
		}
		double size = Math.abs(number);
		int decimals = (size >= 100) ? 0 : (size >= 10) ? 1 : (size >= 1) ? 2 : 4;
		return String.format(Locale.ROOT, "%." + decimals + "f", number);
	}

	/**
	 * Which side of its bound a figure should be on.
	 */
	public enum Direction {

		/** Not above. */
		AT_MOST,

		/** Not below. */
		AT_LEAST

	}

	/**
	 * What a figure should be.
	 *
	 * @param direction which side of the bound
	 * @param bound the bound
	 */
	public record Target(Direction direction, double bound) {

		boolean holds(double value) {
			return switch (this.direction) {
				case AT_MOST -> value <= this.bound;
				case AT_LEAST -> value >= this.bound;
			};
		}

		/**
		 * Renders the target.
		 * @return for example {@code <= 5}
		 */
		public String render() {
			return ((this.direction == Direction.AT_MOST) ? "<= " : ">= ") + Figure.render(this.bound);
		}

	}

}
