#include "support_engine.h"

#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

static void
check_event (struct record *r, const struct bd_engine_event *e)
{
  if (r->final_events > 0)
    r->out_of_order = true;
  r->sent = e->sent;
  switch (e->kind)
    {
    case BD_ENGINE_STARTED:
      r->out_of_order = r->out_of_order || r->starts++ > 0 || !e->sent;
      break;
    case BD_ENGINE_HEAD:
      r->out_of_order = r->out_of_order || r->heads++ > 0 || r->starts == 0;
      r->status = e->status;
      g_strlcpy (r->type, e->content_type.data ? e->content_type.data : "",
                 sizeof r->type);
      break;
    case BD_ENGINE_DATA:
      r->out_of_order = r->out_of_order || r->heads == 0;
      bd_buffer_append (&r->data, e->data);
      break;
    case BD_ENGINE_END:
      r->out_of_order = r->out_of_order || r->heads == 0 || e->error != BD_OK;
      r->final_events++;
      break;
    case BD_ENGINE_FAILED:
      r->out_of_order = r->out_of_order || e->error == BD_OK;
      r->error = e->error;
      r->final_events++;
      break;
    }
}

static int
record_event (struct bd_engine_sink *sink, const struct bd_engine_event *event)
{
  struct recorder *recorder = (struct recorder *)sink;

  pthread_mutex_lock (&recorder->lock);
  if (recorder->events_until_refusal > 0
      && --recorder->events_until_refusal == 0)
    {
      pthread_mutex_unlock (&recorder->lock);
      return BD_ERR_NOMEM;
    }
  check_event (&recorder->records[event->attempt], event);
  if (event->kind == BD_ENGINE_END || event->kind == BD_ENGINE_FAILED)
    recorder->final_events++;
  pthread_cond_broadcast (&recorder->changed);
  pthread_mutex_unlock (&recorder->lock);
  return BD_OK;
}

struct recorder *
recorder_create (void)
{
  struct recorder *recorder = g_new0 (struct recorder, 1);

  recorder->sink.event = record_event;
  pthread_mutex_init (&recorder->lock, NULL);
  pthread_cond_init (&recorder->changed, NULL);
  return recorder;
}

void
recorder_finish (struct recorder *recorder, int count)
{
  for (int i = 0; i < count; i++)
    {
      g_assert_cmpint (recorder->records[i].final_events, ==, 1);
      g_assert_false (recorder->records[i].out_of_order);
      bd_buffer_clear (&recorder->records[i].data);
    }
  g_assert_cmpint (recorder->final_events, ==, count);
  pthread_mutex_destroy (&recorder->lock);
  pthread_cond_destroy (&recorder->changed);
  g_free (recorder);
}

void
wait_final_events (struct recorder *recorder, int count)
{
  pthread_mutex_lock (&recorder->lock);
  while (recorder->final_events < count)
    pthread_cond_wait (&recorder->changed, &recorder->lock);
  pthread_mutex_unlock (&recorder->lock);
}

void
wait_data (struct recorder *recorder, int call)
{
  struct record *r = &recorder->records[call];

  pthread_mutex_lock (&recorder->lock);
  while (r->data.length == 0 && r->final_events == 0)
    pthread_cond_wait (&recorder->changed, &recorder->lock);
  pthread_mutex_unlock (&recorder->lock);
}

void
standin_start (struct standin *s, const char *program, const char *token_us,
               const char *kind)
{
  char *argv[]
      = { (char *)program,      (char *)"--port",           (char *)"0",
          (char *)"--token-us", (char *)token_us,           (char *)"--kind",
          (char *)kind,         (char *)"--checks-fencing", NULL };
  char line[64] = "";
  size_t length = 0;
  int out = -1;

  g_assert_true (
      g_spawn_async_with_pipes (NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
                                NULL, NULL, &s->pid, NULL, &out, NULL, NULL));
  while (!strchr (line, '\n') && length < sizeof line - 1)
    {
      ssize_t n = read (out, line + length, sizeof line - 1 - length);

      g_assert_cmpint (n, >, 0);
      length += (size_t)n;
    }
  close (out);
  s->port = (int)g_ascii_strtoll (line + strlen ("ready "), NULL, 10);
}

void
standin_stop (const struct standin *s)
{
  kill (s->pid, SIGTERM);
  waitpid (s->pid, NULL, 0);
}
