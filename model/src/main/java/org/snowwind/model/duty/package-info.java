/**
 * Threads that each have one duty and a bounded ring of work.
 */
package org.snowwind.model.duty;
