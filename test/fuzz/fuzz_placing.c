/* Fuzzes the readers of datagrams from other instances: gossip and placement
   messages. */

#include "gateway/beacon.h"
#include "gateway/coordination.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* A gossip message that was read must be writable, and must have as many
   entries when it is read again. */
static void
check_beacon (struct bd_chunk bytes)
{
  static struct bd_beacon beacon;
  static struct bd_beacon decoded;
  struct bd_buffer encoded = { 0 };

  if (bd_beacon_read (bytes, &beacon) != BD_OK)
    return;
  if (bd_beacon_write (&beacon, &encoded) != BD_OK
      || bd_beacon_read (bd_buffer_chunk (&encoded), &decoded) != BD_OK
      || decoded.address_count != beacon.address_count
      || decoded.load_count != beacon.load_count
      || decoded.strike_count != beacon.strike_count)
    __builtin_trap ();
  bd_buffer_clear (&encoded);
}

static void
check_coordination (struct bd_chunk bytes)
{
  static struct bd_coordination_message message;
  static struct bd_coordination_message decoded;
  struct bd_buffer encoded = { 0 };

  if (bd_coordination_read (bytes, &message) != BD_OK)
    return;
  if (bd_coordination_write (&message, &encoded) != BD_OK
      || bd_coordination_read (bd_buffer_chunk (&encoded), &decoded) != BD_OK
      || decoded.kind != message.kind)
    __builtin_trap ();
  bd_buffer_clear (&encoded);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bd_chunk bytes = { (const char *)data, size };

  check_beacon (bytes);
  check_coordination (bytes);
  return 0;
}
