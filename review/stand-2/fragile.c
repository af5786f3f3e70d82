/*
 * A sound runner of streams, but that a request whose prompt has the part
 * "dead" ends its process when it begins to answer.
 */
#include "stand.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define EVENTS 12
#define EVENT_GAP_MS 60
#define READ_MS 40

static const char *id;

static bool
answer_request (int fd, const struct message *request)
{
  char attempt[64] = "";
  char prefix[512] = "";
  bool open;

  if (strstr (request->text, "/v1/kv-list"))
    return send_text (fd, "HTTP/1.1 200 OK\r\nContent-Length: 32\r\n\r\n"
                          "{\"epoch\":1,\"next\":1,\"held\":[]}  ");
  field_of (request, "X-Basildock-Attempt-Id", attempt, sizeof attempt);
  field_of (request, "X-Basildock-Prefix-Hash", prefix, sizeof prefix);
  record ("%s begins %s", id, attempt);
  sleep_ms (READ_MS);
  if (strstr (prefix, ",dead:"))
    _exit (1);
  open = send_text (fd,
                    "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: %s\r\n"
                    "X-Basildock-Response-Signature: s.%s.%s\r\n"
                    "Content-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n",
                    attempt, id, attempt);
  for (int i = 1; open && i <= EVENTS; i++)
    {
      char *event = format_text ("id: %d\ndata: piece %d\n\n", i, i);

      open = send_text (fd, "%zx\r\n%s\r\n", strlen (event), event);
      free (event);
      sleep_ms (EVENT_GAP_MS);
    }
  return open && send_text (fd, "0\r\n\r\n");
}

static void
handle_connection (int fd)
{
  struct message request;
  bool open = true;

  while (open && read_message (fd, &request, 60000))
    {
      open = request.complete && answer_request (fd, &request);
      free_message (&request);
    }
}

/* Arguments: identifier, port, record. */
int
main (int argc, char **argv)
{
  int port = argc == 4 ? (int)strtol (argv[2], NULL, 10) : 0;
  int listener = listen_at ("127.0.0.1", &port);

  if (argc != 4 || listener < 0)
    return EXIT_FAILURE;
  id = argv[1];
  record_open (argv[3]);
  serve (listener, handle_connection);
  for (;;)
    pause ();
}
