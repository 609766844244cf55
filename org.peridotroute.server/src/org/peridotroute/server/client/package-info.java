/** Clients of the platform and of workers, over HTTP as docs/PLATFORM.md describes it. */
package org.peridotroute.server.client;
