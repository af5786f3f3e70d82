/**
 * @file support_engine.h
 * Records engine events and starts engine stand-ins, for tests.
 */
#ifndef SUPPORT_ENGINE_H
#define SUPPORT_ENGINE_H

#include "common/string.h"
#include "sidecar/engine.h"

#include <glib.h>
#include <pthread.h>

#define RECORDS_MAX 1024

/* What came for one call, by its attempt number. */
struct record
{
  struct bd_buffer data;
  int starts;
  int heads;
  int final_events;
  int status;
  int error;
  bool sent;
  bool out_of_order; /* An event came where it must not. */
  char type[64];
};

struct recorder
{
  struct bd_engine_sink sink;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  struct record records[RECORDS_MAX];
  int final_events;
};

struct standin
{
  GPid pid;
  int port;
};

struct recorder *recorder_create (void);

/** Checks that each of COUNT calls has had one last event; frees RECORDER. */
void recorder_finish (struct recorder *recorder, int count);

/** Waits until COUNT calls have ended. */
void wait_final_events (struct recorder *recorder, int count);

/** Waits until CALL has had data or has ended. */
void wait_data (struct recorder *recorder, int call);

/** Starts PROGRAM, a standin_engine, on a free port and awaits readiness. */
void standin_start (struct standin *s, const char *program,
                    const char *token_us, const char *kind);

void standin_stop (const struct standin *s);

#endif
