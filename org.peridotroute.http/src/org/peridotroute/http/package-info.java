/** HTTP with JSON bodies: a server, a client and the mapper, on Undertow and Jackson. */
package org.peridotroute.http;
