/**
 * JSON trees on Jackson's streaming parser. Used where a process has to start soon: the data
 * binding of Jackson takes longer to load than all other classes of the process.
 */
package org.peridotroute.json;
