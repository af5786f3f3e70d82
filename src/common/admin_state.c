#include "common/admin_state.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <time.h>

/* How long a query waits for the control thread. */
#define QUERY_TIMEOUT_S 2

struct bd_admin_state
{
  struct bd_admin_source source; /* Must stay the first member. */
  pthread_mutex_t query_lock;    /* Held during a query: one at a time. */
  pthread_mutex_t lock;          /* Guards done, kind, result and answer. */
  pthread_cond_t answered;
  atomic_bool query_pending;
  bool done; /* The control thread has set result and answer. */
  enum bd_admin_state_kind kind;
  int result;
  struct bd_buffer answer;
  atomic_bool ready;
};

static bool
source_ready (struct bd_admin_source *source)
{
  return atomic_load (&((struct bd_admin_state *)source)->ready);
}

static int
wait_for_answer (struct bd_admin_state *s, struct bd_buffer *json)
{
  struct timespec until;
  int rc = 0;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += QUERY_TIMEOUT_S;
  while (!s->done && rc == 0)
    rc = pthread_cond_timedwait (&s->answered, &s->lock, &until);
  atomic_store (&s->query_pending, false);
  if (!s->done)
    return BD_ERR_TIMEOUT;
  if (s->result != BD_OK)
    return s->result;
  return bd_buffer_append (json, bd_buffer_chunk (&s->answer));
}

static int
query (struct bd_admin_source *source, enum bd_admin_state_kind kind,
       struct bd_buffer *json)
{
  struct bd_admin_state *s = (struct bd_admin_state *)source;
  int rc;

  pthread_mutex_lock (&s->query_lock);
  pthread_mutex_lock (&s->lock);
  s->kind = kind;
  s->done = false;
  bd_buffer_reset (&s->answer);
  atomic_store (&s->query_pending, true);
  rc = wait_for_answer (s, json);
  pthread_mutex_unlock (&s->lock);
  pthread_mutex_unlock (&s->query_lock);
  return rc;
}

static int
source_status (struct bd_admin_source *source, struct bd_buffer *json)
{
  return query (source, BD_ADMIN_STATE_STATUS, json);
}

static int
source_runners (struct bd_admin_source *source, struct bd_buffer *json)
{
  return query (source, BD_ADMIN_STATE_RUNNERS, json);
}

static int
source_contracts (struct bd_admin_source *source, struct bd_buffer *json)
{
  return query (source, BD_ADMIN_STATE_CONTRACTS, json);
}

struct bd_admin_state *
bd_admin_state_create (void)
{
  struct bd_admin_state *s = calloc (1, sizeof *s);

  if (!s)
    return NULL;
  s->source = (struct bd_admin_source){
    .ready = source_ready,
    .status = source_status,
    .runners = source_runners,
    .contracts = source_contracts,
  };
  pthread_mutex_init (&s->query_lock, NULL);
  pthread_mutex_init (&s->lock, NULL);
  pthread_cond_init (&s->answered, NULL);
  return s;
}

void
bd_admin_state_destroy (struct bd_admin_state *state)
{
  if (!state)
    return;
  pthread_cond_destroy (&state->answered);
  pthread_mutex_destroy (&state->lock);
  pthread_mutex_destroy (&state->query_lock);
  bd_buffer_clear (&state->answer);
  free (state);
}

struct bd_admin_source *
bd_admin_state_source (struct bd_admin_state *state)
{
  return &state->source;
}

void
bd_admin_state_set_ready (struct bd_admin_state *state, bool ready)
{
  atomic_store (&state->ready, ready);
}

void
bd_admin_state_serve (struct bd_admin_state *state,
                      int (*write) (void *context,
                                    enum bd_admin_state_kind kind,
                                    struct bd_buffer *json),
                      void *context)
{
  if (!atomic_load (&state->query_pending))
    return;
  pthread_mutex_lock (&state->lock);
  if (atomic_load (&state->query_pending) && !state->done)
    {
      state->result = write (context, state->kind, &state->answer);
      state->done = true;
      pthread_cond_signal (&state->answered);
    }
  pthread_mutex_unlock (&state->lock);
}
