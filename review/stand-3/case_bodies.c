/* Many callers each send a whole body within the limits, in chunks, for
   streams that last some seconds. */
#include "kept.h"

#include <string.h>

/* Callers of the crowd, the time in which they come, and their bodies. */
#define CROWD 80
#define CROWD_MS 7000
#define BODY_BYTES 4000000
#define CHUNK_BYTES 62500
#define BODY_MS 1000

static bool
write_chunks (const struct stand_conn *conn)
{
  static const char chunk[CHUNK_BYTES];
  char line[32];
  int count = BODY_BYTES / CHUNK_BYTES;

  snprintf (line, sizeof line, "%x\r\n", CHUNK_BYTES);
  for (int i = 0; i < count; i++)
    {
      if (!stand_write_text (conn, line)
          || !stand_write (conn, chunk, CHUNK_BYTES)
          || !stand_write_text (conn, "\r\n"))
        return false;
      stand_sleep_ms (BODY_MS / count);
    }
  return stand_write_text (conn, "0\r\n\r\n");
}

static void *
run_caller (void *context)
{
  int number = (int)(intptr_t)context;
  struct stand_conn conn;
  struct stand_reply reply = { 0 };
  char id[STAND_ID_BYTES];

  stand_sleep_ms ((int64_t)number * CROWD_MS / CROWD);
  snprintf (id, sizeof id, "c0%06x", (unsigned)number);
  if (!stand_connect (&conn, KEPT_GATEWAY, STAND_CALLERS_PORT))
    return NULL;
  if (kept_write_head (&conn, id, "Transfer-Encoding: chunked")
      && write_chunks (&conn))
    stand_read_reply (&conn, &reply);
  stand_record ("crowd caller %d: status %d, %s", number, reply.status,
                reply.complete ? "whole" : "not whole");
  stand_clear_reply (&reply);
  stand_close (&conn);
  return NULL;
}

static void
start_crowd (void)
{
  for (int i = 0; i < CROWD; i++)
    stand_thread (run_caller, (void *)(intptr_t)i);
}

int
main (int argc, char **argv)
{
  return kept_play (argc > 1 ? argv[1] : ".", start_crowd);
}
