/**
 * @file server_internal.h
 * What the parts of the server share: reading requests (server.c) and writing
 * answers (exchange.c).
 */
#ifndef BD_SERVER_INTERNAL_H
#define BD_SERVER_INTERNAL_H

#include "http/intake.h"
#include "http/server.h"
#include "http/socket.h"

enum phase
{
  PHASE_READING = 0, /* The request is incomplete. */
  PHASE_ANSWERING,   /* The handler has the request. */
  PHASE_STREAMING    /* The head of a chunked answer has been sent. */
};

struct bd_exchange
{
  struct bd_server *server;
  struct bd_socket *socket;
  struct bd_http_reader *reader;
  struct bd_intake_entry intake;
  struct bd_exchange *next;
  struct bd_exchange *previous;
  const struct bd_head *head;
  struct bd_buffer body;
  void *owner;
  enum phase phase;
  int64_t arrived_ms;       /* First byte of the request; 0: none yet. */
  int64_t last_activity_ms; /* Last byte received, or end of an answer. */
  bool head_done;
  bool parsing;        /* Set while the reader runs; defers the free. */
  bool next_requested; /* The reader must go on to the next request. */
  bool closed;         /* Is freed once the reader returns. */
  bool broken;         /* A part of the answer could not be written. */
};

struct bd_server
{
  uv_tcp_t listener;
  uv_timer_t sweep_timer;
  const struct bd_server_handler *handler;
  void *context;
  struct bd_caller_limits limits;
  struct bd_intake intake;
  size_t intake_max_bytes; /* 0: no bound. */
  struct bd_tls *tls;      /* NULL: without TLS. */
  struct bd_exchange *exchanges;
  size_t connections;
  size_t active;
  bool draining;
  bool accept_waits; /* A connection is ready that could not be accepted, since
                        there was no memory. */
  int open_handles;
};

/** Closes the connection; GRACEFUL sends pending data first. */
void bd_exchange_close (struct bd_exchange *exchange, bool graceful);

/** Writes and clears OUT.  When that fails, or did before, the caller of this
   function closes the connection without on_abort, since it is the handler
   that writes. */
int bd_exchange_write (struct bd_exchange *exchange, struct bd_buffer *out);

/** Reads the next request if that is due, then acts on the reader's result.
   May free the exchange. */
void bd_exchange_process (struct bd_exchange *exchange, int error);

#endif
