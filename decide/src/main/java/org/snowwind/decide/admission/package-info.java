/**
 * Whose request is next, and who is refused.
 */
package org.snowwind.decide.admission;
