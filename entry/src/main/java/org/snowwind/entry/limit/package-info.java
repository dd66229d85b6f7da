/**
 * What each organisation may use of an entry.
 */
package org.snowwind.entry.limit;
