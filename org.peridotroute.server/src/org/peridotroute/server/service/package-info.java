/** Services of the process. Each owns a thread and a ring, is started once and stopped once. */
package org.peridotroute.server.service;
