package org.snowwind.config.snapshot;

import org.snowwind.model.resource.ResourceKey;

/**
 * One thing that is wrong with a resource.
 *
 * @param check the name of the check that found it
 * @param severity whether it keeps the resource from being accepted
 * @param resource the resource
 * @param field the field of its specification
 * @param reason what is wrong
 * @param remedy what to do
 */
public record Finding(String check, Severity severity, ResourceKey resource, String field, String reason,
		String remedy) {

	/**
	 * Begins a finding.
	 * @param check the check that found it
	 * @param severity whether it keeps the resource from being accepted
	 * @param resource the resource
	 * @return a builder
	 */
	public static Builder of(String check, Severity severity, ResourceKey resource) {
		return new Builder(check, severity, resource);
	}

	/**
	 * Tells whether the resource cannot be accepted.
	 * @return true if it cannot
	 */
	public boolean blocks() {
		return this.severity == Severity.ERROR;
	}

	@Override
	public String toString() {
		return this.resource + " " + this.field + ": " + this.reason + "; " + this.remedy + " [" + this.check + "]";
	}

	/**
	 * How much a finding weighs.
	 */
	public enum Severity {

		/** The resource is not accepted. */
		ERROR,

		/** The resource is accepted, and the operator is told. */
		WARNING

	}

	/**
	 * Collects the parts of a finding.
	 */
	public static final class Builder {

		private final String check;

		private final Severity severity;

		private final ResourceKey resource;

		private String field = "";

		private String reason = "";

		private Builder(String check, Severity severity, ResourceKey resource) {
			this.check = check;
			this.severity = severity;
			this.resource = resource;
		}

		/**
		 * Names the field.
		 * @param name the field of the specification
		 * @return this builder
		 */
		public Builder field(String name) {
			this.field = name;
			return this;
		}

		/**
		 * States what is wrong.
		 * @param text one line
		 * @return this builder
		 */
		public Builder because(String text) {
			this.reason = text;
			return this;
		}

		/**
		 * States what to do and builds the finding.
		 * @param text one line
		 * @return the finding
		 */
		public Finding remedy(String text) {
			return new Finding(this.check, this.severity, this.resource, this.field, this.reason, text);
		}

	}

}
