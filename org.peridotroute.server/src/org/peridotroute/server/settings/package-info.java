/** Settings of the process: their schema, their check as a whole, their typed values. */
package org.peridotroute.server.settings;
