/**
 * Chooses the server for a request.
 */
package org.snowwind.decide.choice;
