/** The resource API over HTTP and JSON: organisations, jobs, workers, VMs and watches. */
package org.peridotroute.server.api;
