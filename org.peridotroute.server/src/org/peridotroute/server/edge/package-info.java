/** The scheduler process on an entry VM: its settings, threads, sockets, event log and metrics. */
package org.peridotroute.server.edge;
