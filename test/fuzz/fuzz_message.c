/* Frames and gossip bodies from other processes. */

#include "entry/gossip.h"
#include "wire/message.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static struct bd_gossip_body body;
  struct bd_chunk frame = { (const char *)data, size };
  struct bd_buffer again = { 0 };
  struct bd_message m;
  struct bd_message back;

  bd_gossip_decode (frame, &body);
  if (bd_message_decode (frame, &m) != BD_OK)
    return 0;
  /* What was read can be written, and reads the same. */
  if (bd_message_encode (&m, &again) != BD_OK
      || bd_message_decode (bd_buffer_chunk (&again), &back) != BD_OK
      || back.type != m.type || back.sequence != m.sequence
      || !bd_chunk_equal (back.body, m.body))
    __builtin_trap ();
  bd_gossip_decode (m.body, &body);
  bd_buffer_clear (&again);
  return 0;
}
