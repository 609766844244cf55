/** Settings of the process: schema, validation and typed values. */
package org.peridotroute.server.settings;
