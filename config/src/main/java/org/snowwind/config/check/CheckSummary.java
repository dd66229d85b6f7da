package org.snowwind.config.check;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

import org.snowwind.config.snapshot.Finding;

/**
 * States what a check looks for.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface CheckSummary {

	/**
	 * Returns the summary.
	 * @return one line
	 */
	String value();

	/**
	 * Returns the weight of its findings.
	 * @return the severity
	 */
	Finding.Severity severity();

}
