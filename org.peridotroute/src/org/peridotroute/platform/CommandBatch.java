package org.peridotroute.platform;

import java.util.List;
import org.peridotroute.control.TaskCommand;

/**
 * Commands to one worker.
 *
 * @param commands the commands, carried out in order
 */
public record CommandBatch(List<TaskCommand> commands) {
  /** Copies the list. */
  public CommandBatch {
    commands = List.copyOf(commands);
  }
}
