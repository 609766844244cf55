package org.peridotroute.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.peridotroute.lib.Directory;

/**
 * Reply to a read of the platform's directory.
 *
 * @param version version of the directory, which changes with every change of its content
 * @param directory the directory; absent if the client already has this version
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record DirectoryReply(long version, Directory directory) {}
