/** The server process of an entry VM. {@link EntryVm} creates and connects its services. */
package org.peridotroute.server;
