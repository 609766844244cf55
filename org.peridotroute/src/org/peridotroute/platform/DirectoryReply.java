package org.peridotroute.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.peridotroute.lib.Directory;

/**
 * The platform's list with its version.
 *
 * @param version changes whenever the list does
 * @param directory the list; absent if the reader has this version already
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record DirectoryReply(long version, Directory directory) {}
