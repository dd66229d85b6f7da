/**
 * How the configuration comes in force and stays so.
 */
package org.snowwind.entry.config;
