package org.snowwind.model.resource;

/**
 * One statement about a resource.
 *
 * @param type what is stated
 * @param holds whether it holds
 * @param reason why, one line
 * @param remedy what an operator can do, {@code null} if nothing is needed
 */
public record Condition(Type type, boolean holds, String reason, String remedy) {

	/**
	 * The types of conditions.
	 */
	public enum Type {

		/** The specification is valid and the platform keeps it. */
		ACCEPTED("Accepted"),

		/** Every reachable data centre serves by it. */
		IN_FORCE("InForce"),

		/** Something hinders it. */
		DEGRADED("Degraded");

		private final String title;

		Type(String title) {
			this.title = title;
		}

		/**
		 * Returns the name that operators write.
		 * @return for example {@code InForce}
		 */
		@com.fasterxml.jackson.annotation.JsonValue
		public String title() {
			return this.title;
		}

	}

}
