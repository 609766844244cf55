package org.peridotroute.scheduler.table;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.peridotroute.lib.Checks;
import org.peridotroute.scheduler.model.ProposedJob;

/**
 * Job files that people write. Unlike records on the log they are read by data binding, which names
 * unknown fields but is slow to load. Stateless.
 */
final class JobFile {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .visibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY)
          .visibility(PropertyAccessor.GETTER, JsonAutoDetect.Visibility.NONE)
          .visibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE)
          .build();

  private JobFile() {}

  static ProposedJob read(byte[] json) throws IOException {
    return Checks.present("job", MAPPER.readValue(json, ProposedJob.class));
  }
}
