/**
 * HTTP calls over AsyncHttpClient that say how far they came when they fail.
 */
package org.snowwind.http.client;
