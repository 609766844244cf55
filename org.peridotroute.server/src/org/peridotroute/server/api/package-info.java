/** The resource API: organisations, jobs, workers and watches, as HTTP with JSON bodies. */
package org.peridotroute.server.api;
