/* Callers that continue streams whose responses broke off, and the software
   versions that wrote the streams. */
#include "soak.h"

#include <string.h>

/* Times that a caller continues a stream, and the longest wait before. */
#define TRIES_MAX 3
#define WAIT_MAX_MS 600
/* Fewer continued streams show no share. */
#define SHARE_MIN 12

static struct
{
  GQueue due;               /* Attempts to send, of which sent_ms is when. */
  uint32_t begun_of, begun; /* New streams; those with an event. */
  uint32_t continued_of, continued; /* Continued ones; with an event. */
} state = { .due = G_QUEUE_INIT };

void
soak_stream_broke (struct soak *soak, struct soak_attempt *attempt,
                   uint32_t events)
{
  struct soak_attempt *next;

  /* A stream that broke off between its last event and its end is not
     continued: the simulated runners have no answer without events. */
  if (attempt->kind != SOAK_RESUMABLE || events == 0 || attempt->fatal
      || events >= attempt->events || attempt->tries >= TRIES_MAX
      || soak->stopping)
    return;
  next = g_new0 (struct soak_attempt, 1);
  g_strlcpy (next->name, attempt->name, sizeof next->name);
  next->kind = SOAK_RESUMABLE;
  next->events = attempt->events;
  next->origin = attempt->origin ? attempt->origin : attempt;
  next->held = events;
  next->tries = attempt->tries + 1;
  next->sent_ms
      = soak_now_ms (soak) + soak_random_below (&soak->random, WAIT_MAX_MS);
  g_queue_push_tail (&state.due, next);
}

struct soak_attempt *
soak_next_continuation (struct soak *soak)
{
  for (GList *at = state.due.head; at; at = at->next)
    {
      struct soak_attempt *attempt = at->data;

      if (attempt->sent_ms > soak_now_ms (soak))
        continue;
      g_queue_delete_link (&state.due, at);
      return attempt;
    }
  return NULL;
}

/* Returns the number of undisturbed runners of SOFTWARE that serve streams. */
static uint32_t
count_serving (const struct soak *soak, const char *software)
{
  uint32_t count = 0;

  for (size_t i = 0; i < soak->runner_count; i++)
    {
      struct soak_runner *runner = soak->runners[i];

      count += strcmp (soak_runner_service (runner), "llm") == 0
               && strcmp (soak_runner_software (runner), software) == 0
               && !soak_runner_leaving (runner)
               && soak_proxy_stable_ms (soak_runner_proxy (runner))
                      > SOAK_STABLE_MS;
    }
  return count;
}

/* A gateway that has no path to the store, or has not had one for long, may
   know none of the runners that serve. */
static bool
is_in_touch (const struct soak *soak, int gateway)
{
  return soak_stable_gateway_ms (soak, gateway) >= SOAK_STABLE_MS
         && soak_store_stable_ms (soak->store) >= SOAK_STABLE_MS;
}

void
soak_count_stream (struct soak *soak, struct soak_attempt *attempt)
{
  if (attempt->kind != SOAK_RESUMABLE || attempt->fatal
      || !is_in_touch (soak, attempt->gateway))
    return;
  attempt->counted = !attempt->origin
                     || count_serving (soak, attempt->origin->software) >= 2;
  if (attempt->origin)
    state.continued_of += attempt->counted;
  else
    state.begun_of += attempt->counted;
}

void
soak_check_software (struct soak *soak, struct soak_attempt *attempt,
                     struct bd_chunk software)
{
  struct soak_attempt *first = attempt->origin ? attempt->origin : attempt;
  char *text = g_strndup (software.data, software.length);

  if (attempt->counted && attempt->origin)
    state.continued++;
  else if (attempt->counted)
    state.begun++;
  attempt->counted = false;
  if (first->software[0] == '\0')
    g_strlcpy (first->software, text, sizeof first->software);
  else if (strcmp (first->software, text) != 0)
    soak_violation (soak, "ORDER",
                    "%s began as %s with %s and goes on with %s", attempt->id,
                    first->id, first->software, text);
  g_free (text);
}

/* Records the continued streams that did not go on, to be found in the logs of
   their gateways. */
static void
record_stopped_streams (struct soak *soak)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, soak->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct soak_attempt *attempt = value;

      if (attempt->origin && attempt->counted)
        soak_log (soak, "%s (of %s, version %s) did not go on at gateway %d",
                  attempt->id, attempt->origin->id, attempt->origin->software,
                  attempt->gateway);
    }
}

void
soak_check_continued (struct soak *soak)
{
  double begun = state.begun_of ? (double)state.begun / state.begun_of : 1.0;

  soak_log (soak, "streams: %u of %u begun, %u of %u continued", state.begun,
            state.begun_of, state.continued, state.continued_of);
  record_stopped_streams (soak);
  if (state.continued_of >= SHARE_MIN
      && state.continued < state.continued_of * begun / 2.0)
    soak_violation (soak, "LOST",
                    "%u of %u continued streams went on, of new ones %.2f",
                    state.continued, state.continued_of, begun);
}
