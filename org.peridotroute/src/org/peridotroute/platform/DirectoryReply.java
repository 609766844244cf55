package org.peridotroute.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.peridotroute.lib.Directory;

/**
 * Reply to a read of the platform's list.
 *
 * @param version version of the list, which changes with every change of the list
 * @param directory the list; absent if the client already has this version
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record DirectoryReply(long version, Directory directory) {}
