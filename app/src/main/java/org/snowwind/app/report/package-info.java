/**
 * Pages for operators, rendered here.
 */
package org.snowwind.app.report;
