/**
 * A short run of a gateway against canned answers, from which the build makes the archive
 * of classes that a gateway loads.
 */
package org.snowwind.app.rehearse;
