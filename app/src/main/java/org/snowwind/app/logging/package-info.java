/**
 * How log lines look.
 */
package org.snowwind.app.logging;
