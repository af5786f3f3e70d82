/* A caller sends small requests one after the other on its connection and
   reads no answer.  Each request is within the limits; their route does not
   exist. */
#include "kept.h"

#include <stdlib.h>
#include <string.h>

#define WRITING_MS 20000
#define REQUESTS_PER_WRITE 256
#define REQUEST_TEXT                                                          \
  "GET /none/2f HTTP/1.1\r\nHost: " STAND_HOST "\r\n"                         \
  "X-Basildock-Attempt-Id: 9c41d07be2a35f68\r\n"                              \
  "X-Basildock-Deadline-Ms: 12000\r\n"                                        \
  "Authorization: Token " STAND_KEY "\r\n\r\n"

static const char request[] = REQUEST_TEXT;

static long
write_requests (const struct stand_conn *conn)
{
  int64_t until_ms = stand_now_ms () + WRITING_MS;
  size_t length = sizeof request - 1;
  char *block = malloc (length * REQUESTS_PER_WRITE);
  long count = 0;

  for (size_t i = 0; block && i < REQUESTS_PER_WRITE; i++)
    memcpy (block + i * length, request, length);
  while (block && stand_now_ms () < until_ms
         && stand_write (conn, block, length * REQUESTS_PER_WRITE))
    count += REQUESTS_PER_WRITE;
  free (block);
  return count;
}

static void *
run_caller (void *context)
{
  struct stand_conn conn;

  (void)context;
  if (!stand_connect (&conn, KEPT_GATEWAY, STAND_CALLERS_PORT))
    return NULL;
  stand_record ("the caller that does not read sent %ld requests",
                write_requests (&conn));
  stand_close (&conn);
  return NULL;
}

static void
start_caller (void)
{
  stand_thread (run_caller, NULL);
}

int
main (int argc, char **argv)
{
  return kept_play (argc > 1 ? argv[1] : ".", start_caller);
}
