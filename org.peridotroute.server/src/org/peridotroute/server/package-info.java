/** The process on an entry VM, assembled of its services. Begin with {@link EntryVm}. */
package org.peridotroute.server;
