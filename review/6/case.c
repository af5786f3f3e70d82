/*
 * Half of a service's runners are replaced by ones of a second software
 * version.  Sessions have had a request read at the runners of the first
 * version, and their next one is streamed by those of the second, as the
 * first wanted nothing for a second.  Then one runner crashes and the gateways
 * are killed at the same moment.  The callers take their streams up again.
 */
#include "../stand-2/streams.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAYS 2
#define SESSIONS 96
#define OLD_RUNNERS 4
#define NEW_RUNNERS 2
#define DRAIN_MS 2000
/* Between two requests. */
#define GAP_MS 5
/* When the processes end, after the second requests began. */
#define END_AFTER_MS 700
#define RESTART_MS 500
/* Streams of two versions that the rule allows. */
#define MIXED_MAX 2
#define RULE_BROKEN 1
#define CANNOT_RUN 2

static struct gateway gateways[GATEWAYS];

static void *
run_first (void *context)
{
  run_request (context, "first");
  return NULL;
}

static void *
run_second (void *context)
{
  run_request (context, "second");
  return NULL;
}

static void
start_requests (struct session *sessions, pthread_t *threads,
                void *(*run) (void *context))
{
  for (int i = 0; i < SESSIONS; i++)
    {
      if (pthread_create (&threads[i], NULL, run, &sessions[i]) != 0)
        abort ();
      sleep_ms (GAP_MS);
    }
}

static void
await_requests (const pthread_t *threads)
{
  for (int i = 0; i < SESSIONS; i++)
    pthread_join (threads[i], NULL);
}

static bool
start_gateways (const char *folder, int store_port)
{
  static const char *const ips[] = { "127.0.0.21", "127.0.0.22" };
  int internal_port = free_port (ips, GATEWAYS);

  for (int i = 0; i < GATEWAYS; i++)
    {
      snprintf (gateways[i].name, sizeof gateways[i].name, "entry-%d", i + 1);
      snprintf (gateways[i].ip, sizeof gateways[i].ip, "%s", ips[i]);
      gateway_prepare (&gateways[i], folder, internal_port, store_port,
                       "[\"127.0.0.21:9\",\"127.0.0.22:9\"]");
      if (!gateway_start (&gateways[i]))
        return false;
    }
  return gateway_wait_ready (&gateways[0], 10000)
         && gateway_wait_ready (&gateways[1], 10000);
}

/* Starts COUNT runners, the first one with number FIRST. */
static void
start_runners (pid_t *pids, int first, int count, const char *version,
               const char *folder, const char *record_path)
{
  const char *ips[] = { "127.0.0.1" };

  for (int i = 0; i < count; i++)
    {
      char *id = format_text ("i-%d", first + i);

      pids[i] = start_runner (id, version, free_port (ips, 1), folder,
                              record_path);
      free (id);
    }
}

/* The new runners start first; then half of the old ones leave. */
static void
release (pid_t *old_pids, pid_t *new_pids, const char *folder,
         const char *record_path)
{
  start_runners (new_pids, OLD_RUNNERS, NEW_RUNNERS, "v2", folder,
                 record_path);
  for (int i = 0; i < NEW_RUNNERS; i++)
    {
      char *id = format_text ("i-%d", i);

      record ("runner %s leaves", id);
      store_remove_runner (id);
      free (id);
    }
  sleep_ms (DRAIN_MS + 500);
  for (int i = 0; i < NEW_RUNNERS; i++)
    {
      end_process (old_pids[i], SIGKILL);
      old_pids[i] = 0;
    }
}

/* Crashes a new runner and kills all gateways, and starts these again. */
static void
end_processes (pid_t *new_pids)
{
  char *id = format_text ("i-%d", OLD_RUNNERS);

  record ("the runner %s (v2) crashes and the gateways are killed", id);
  for (int i = 0; i < GATEWAYS; i++)
    kill (gateways[i].pid, SIGKILL);
  end_process (new_pids[0], SIGKILL);
  new_pids[0] = 0;
  store_runner_lost (id);
  free (id);
  for (int i = 0; i < GATEWAYS; i++)
    gateway_end (&gateways[i], SIGKILL);
  sleep_ms (RESTART_MS);
  for (int i = 0; i < GATEWAYS; i++)
    gateway_start (&gateways[i]);
}

int
main (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  struct session sessions[SESSIONS] = { 0 };
  pthread_t threads[SESSIONS];
  pid_t old_pids[OLD_RUNNERS];
  pid_t new_pids[NEW_RUNNERS];
  int mixed;

  if (argc != 3)
    return CANNOT_RUN;
  record_open (argv[2]);
  for (int i = 0; i < SESSIONS; i++)
    sessions[i] = (struct session){ .number = i,
                                    .gateways = gateways,
                                    .gateway_count = GATEWAYS };
  put_stream_configuration ();
  start_runners (old_pids, 0, OLD_RUNNERS, "v1", argv[1], argv[2]);
  if (!start_gateways (argv[1], store_start ("127.0.0.1")))
    return CANNOT_RUN;
  sleep_ms (4000);
  start_requests (sessions, threads, run_first);
  await_requests (threads);
  release (old_pids, new_pids, argv[1], argv[2]);
  for (int i = NEW_RUNNERS; i < OLD_RUNNERS; i++)
    kill (old_pids[i], SIGUSR1);
  sleep_ms (50);
  start_requests (sessions, threads, run_second);
  sleep_ms (END_AFTER_MS);
  if (!trouble || strcmp (trouble, "0") != 0)
    end_processes (new_pids);
  await_requests (threads);
  mixed = count_mixed (sessions, SESSIONS);
  record ("streams of two versions: %d, allowed: %d", mixed, MIXED_MAX);
  for (int i = 0; i < GATEWAYS; i++)
    gateway_end (&gateways[i], SIGTERM);
  for (int i = 0; i < OLD_RUNNERS; i++)
    end_process (old_pids[i], SIGKILL);
  for (int i = 0; i < NEW_RUNNERS; i++)
    end_process (new_pids[i], SIGKILL);
  return mixed > MIXED_MAX ? RULE_BROKEN : 0;
}
