/**
 * What processes tell each other, over Netty with protobuf frames: statuses about once a second,
 * and the whole state to a VM that boots while the log is down.
 */
package org.peridotroute.server.peer;
