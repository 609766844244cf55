/**
 * Services of the server process. A service is started once, stopped once and runs on its own
 * thread.
 */
package org.peridotroute.server.service;
