/**
 * The subcommands.
 */
package org.snowwind.app.command;
