/** HTTP clients of the platform and of the workers; docs/PLATFORM.md describes the protocol. */
package org.peridotroute.server.client;
