/* Fuzzes the readers of the platform's documents and header fields. */
#include "documents.h"
#include "headers.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
read_fields (struct bd_chunk input)
{
  static struct bd_head head;
  struct bd_request_fields fields = { 0 };

  head.field_count = 0;
  head.fields[head.field_count++]
      = (struct bd_field){ BD_CHUNK ("X-Basildock-Attempt-Id"),
                           BD_CHUNK ("a") };
  head.fields[head.field_count++]
      = (struct bd_field){ BD_CHUNK ("X-Basildock-Prefix-Hash"), input };
  head.fields[head.field_count++]
      = (struct bd_field){ BD_CHUNK ("X-Basildock-Token-Usage"), input };
  head.fields[head.field_count++]
      = (struct bd_field){ BD_CHUNK ("Authorization"), input };
  bd_cutline_dialect.read_request (&head, &fields);
  bd_part_list_clear (&fields.parts);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bd_chunk input = { (const char *)data, size };
  json_t *root = json_loadb (input.data, input.length, 0, NULL);
  struct bd_target_entry entry;
  struct bd_routing *routing = NULL;
  struct bd_caller_limits limits;
  const char *reason;

  if (bd_cutline_parse_runner (root, BD_CHUNK ("i"), &entry, &reason) == BD_OK
      && (entry.service.length == 0 || entry.port == 0))
    abort ();
  json_decref (root);
  if (bd_cutline_parse_configuration (input, &routing, &limits) == BD_OK)
    bd_routing_unref (routing);
  read_fields (input);
  return 0;
}
