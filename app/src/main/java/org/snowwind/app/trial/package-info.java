/**
 * A whole small fleet with its stand-ins in one process.
 */
package org.snowwind.app.trial;
