/**
 * @file support_server.h
 * A TCP server that answers with fixed bytes, for tests.
 */
#ifndef SUPPORT_SERVER_H
#define SUPPORT_SERVER_H

#include <stdbool.h>

#include <glib.h>

/** A server that answers every request with the same bytes. */
struct server
{
  const char *response; /* NULL to close right after the accept. */
  bool keep_open;       /* Keep connections open after a response. */
  int max_answers;      /* Later requests are cut without an answer. */
  int fd;
  int port;
  GThread *thread;
  gint requests;
  GPtrArray *connections;
};

/** Listens on a free port of loopback.  Returns the socket and sets *PORT. */
int listen_loopback (int *port);

/** Starts the server; response, keep_open and max_answers must be set. */
void server_start (struct server *s);

/** Closes every connection and joins the threads. */
void server_stop (struct server *s);

#endif
