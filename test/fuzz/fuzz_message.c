/* Fuzzes the decoders of frames and gossip bodies from other processes. */

#include "entry/gossip.h"
#include "wire/message.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static struct bd_gossip_body body;
  struct bd_chunk frame = { (const char *)data, size };
  struct bd_buffer encoded = { 0 };
  struct bd_message message;
  struct bd_message decoded;

  bd_gossip_decode (frame, &body);
  if (bd_message_decode (frame, &message) != BD_OK)
    return 0;
  /* A decoded message must encode, and decode to the same message again. */
  if (bd_message_encode (&message, &encoded) != BD_OK
      || bd_message_decode (bd_buffer_chunk (&encoded), &decoded) != BD_OK
      || decoded.type != message.type || decoded.sequence != message.sequence
      || !bd_chunk_equal (decoded.body, message.body))
    __builtin_trap ();
  bd_gossip_decode (message.body, &body);
  bd_buffer_clear (&encoded);
  return 0;
}
