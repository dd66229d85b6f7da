/**
 * What became of a request, as told to its caller.
 */
package org.snowwind.model.outcome;
