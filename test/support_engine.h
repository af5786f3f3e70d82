/**
 * @file support_engine.h
 * Records engine events and starts stand-in engines, for tests.
 */
#ifndef SUPPORT_ENGINE_H
#define SUPPORT_ENGINE_H

#include "common/string.h"
#include "sidecar/engine.h"

#include <glib.h>
#include <pthread.h>

#define RECORDS_MAX 1024

/* Events of one call; the index of the record is the call's attempt number. */
struct record
{
  struct bd_buffer data;
  int starts;
  int heads;
  int final_events;
  int status;
  int error;
  bool sent;
  bool out_of_order; /* An event came in a wrong order. */
  char type[64];
};

struct recorder
{
  struct bd_engine_sink sink;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  struct record records[RECORDS_MAX];
  int final_events;
  int events_until_refusal; /* That one is refused, once; 0: none is. */
};

struct standin
{
  GPid pid;
  int port;
};

struct recorder *recorder_create (void);

/**
 * Checks that each of the first COUNT calls has had one final event, and its
 * events in order.  Frees RECORDER.
 */
void recorder_finish (struct recorder *recorder, int count);

/** Waits until COUNT calls have had their final event. */
void wait_final_events (struct recorder *recorder, int count);

/** Waits until CALL has had data or its final event. */
void wait_data (struct recorder *recorder, int call);

/**
 * Starts PROGRAM, a standin_engine, on a free port and waits until it is
 * ready.  TOKEN_US is the time for a token, KIND is "model" or "service".
 */
void standin_start (struct standin *s, const char *program,
                    const char *token_us, const char *kind);

void standin_stop (const struct standin *s);

#endif
