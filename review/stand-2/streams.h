/**
 * @file streams.h
 * Callers of streams that may be resumed, as the pages describe them.  Each
 * event names the software version of the runner that made it.
 */
#ifndef STREAMS_H
#define STREAMS_H

#include "stand.h"

/** A caller's session, and what it has got of its present stream. */
struct session
{
  int number;
  const struct gateway *gateways; /**< Those that it may be led to. */
  int gateway_count;
  char first_attempt[32]; /**< The attempt that brought the first event. */
  int attempts;
  int last_event;
  bool complete;
  bool from_v1;
  bool from_v2;
  bool out_of_order;
};

/** Sends a request of the session, and repeats it as callers do, until its
    stream is whole; the attempts are named after TURN. */
void run_request (struct session *session, const char *turn);

/** Writes the desired state with the route of these streams. */
void put_stream_configuration (void);

/** Starts a process of runner ID at PORT and registers it. */
pid_t start_runner (const char *id, const char *version, int port,
                    const char *folder, const char *record_path);

/** Records what each session has got.  Returns how many streams hold events of
    both versions. */
int count_mixed (const struct session *sessions, int count);

#endif
