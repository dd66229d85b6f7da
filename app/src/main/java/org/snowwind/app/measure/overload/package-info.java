/**
 * Overload and failing servers, against a plain balancer in the same run.
 */
package org.snowwind.app.measure.overload;
