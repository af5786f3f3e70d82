#include "common/string.h"
#include "configuration/config.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static const char *const names[]
    = { "manifest", "contract/gebeya", "pool/cutplan" };

static void
visit (void *context, struct bd_chunk name)
{
  (void)context;
  if (name.length == 0)
    abort ();
}

/*
 * The input is documents, each led by a byte that says which, and ended by a
 * zero byte.  The manifest never goes back and each refusal has a reason.
 */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bd_config *config = bd_config_create ();
  uint64_t revision = 0;
  size_t at = 0;

  while (at < size)
    {
      struct bd_chunk name = bd_chunk_of (names[data[at++] % 3]);
      struct bd_chunk json = { .data = (const char *)data + at };
      struct bd_config_snapshot *view;
      char reason[300];
      int rc;

      while (at < size && data[at] != 0)
        at++;
      json.length = (size_t)((const char *)data + at - json.data);
      rc = bd_config_offer (config, name, json, reason, sizeof reason);
      if (rc == BD_ERR_CONTRACT && reason[0] == '\0')
        abort ();
      if (bd_config_revision (config) < revision)
        abort ();
      revision = bd_config_revision (config);
      bd_config_missing (config, visit, NULL);
      view = bd_config_snapshot (config);
      if (bd_config_find_credential (view, json))
        abort ();
      bd_config_snapshot_release (view);
      at++;
    }
  bd_config_destroy (config);
  return 0;
}
