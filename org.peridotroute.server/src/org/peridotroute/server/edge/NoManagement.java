package org.peridotroute.server.edge;

import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Switches JMX off when it is named as the builder of MBean servers. XNIO registers its workers
 * there, which takes a quarter of the process's start, and carries on without if it cannot.
 */
public final class NoManagement extends MBeanServerBuilder {
  @Override
  public MBeanServer newMBeanServer(
      String defaultDomain, MBeanServer outer, MBeanServerDelegate delegate) {
    throw new UnsupportedOperationException("this process has no MBean server");
  }
}
