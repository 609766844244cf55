/**
 * Restrictions on where work may start: data centres that operators have closed for new work, and
 * the regions that queues and organisations allow.
 */
package org.peridotroute.scheduler.place;
