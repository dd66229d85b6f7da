/**
 * Callers that check every answer they get.
 */
package org.snowwind.app.load;
