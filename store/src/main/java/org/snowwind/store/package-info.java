/**
 * Interfaces to the platform's object API, and their clients.
 */
package org.snowwind.store;
