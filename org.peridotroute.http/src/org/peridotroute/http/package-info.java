/** HTTP server and client with JSON bodies, and the JSON mapper. Based on Undertow and Jackson. */
package org.peridotroute.http;
