/**
 * Communication between the VMs, over Netty with protobuf frames. VMs exchange statuses about once
 * a second, and send the whole state to a VM that starts while the log is unavailable.
 */
package org.peridotroute.server.peer;
