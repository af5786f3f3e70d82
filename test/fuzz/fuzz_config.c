#include "common/string.h"
#include "configuration/config.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static const char *const document_names[]
    = { "manifest", "contract/gebeya", "pool/cutplan" };

static void
check_name (void *context, struct bd_chunk name)
{
  (void)context;
  if (name.length == 0)
    abort ();
}

/*
 * Submits documents to a configuration.  In the input a byte before each
 * document selects its name, and a zero byte ends it.  The manifest's revision
 * must never decrease, and each rejection must have a reason.
 */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bd_config *config = bd_config_create ();
  uint64_t revision = 0;
  size_t offset = 0;

  while (offset < size)
    {
      struct bd_chunk name = bd_chunk_of (document_names[data[offset++] % 3]);
      struct bd_chunk json = { .data = (const char *)data + offset };
      struct bd_config_snapshot *snapshot;
      char reason[300];
      int rc;

      while (offset < size && data[offset] != 0)
        offset++;
      json.length = (size_t)((const char *)data + offset - json.data);
      rc = bd_config_submit (config, name, json, reason, sizeof reason);
      if (rc == BD_ERR_CONTRACT && reason[0] == '\0')
        abort ();
      if (bd_config_revision (config) < revision)
        abort ();
      revision = bd_config_revision (config);
      bd_config_visit_outdated (config, check_name, NULL);
      snapshot = bd_config_snapshot (config);
      if (bd_config_find_credential (snapshot, json))
        abort ();
      bd_config_snapshot_release (snapshot);
      offset++;
    }
  bd_config_destroy (config);
  return 0;
}
