/**
 * @file support_server.h
 * A TCP server that answers with fixed bytes, for tests.
 */
#ifndef SUPPORT_SERVER_H
#define SUPPORT_SERVER_H

#include <stdbool.h>

#include <glib.h>

/** A server that gives every request the same bytes. */
struct server
{
  const char *response; /* NULL: close right after the accept. */
  bool keep_open;       /* Leave the connection open after the response. */
  int max_answers;      /* Requests that are answered; later ones are cut. */
  int fd;
  int port;
  GThread *thread;
  gint requests;
  GPtrArray *connections;
};

/** Listens on a free port of loopback, which goes to PORT. */
int listen_loopback (int *port);

/** Starts the server; response, hold and answers are set before. */
void server_start (struct server *s);

/** Closes every connection and joins the threads. */
void server_stop (struct server *s);

#endif
