#include "gateway/forward_internal.h"

#include "common/clock.h"

#include <stdlib.h>

/* Most connection probes at a time. */
#define PROBES_MAX 16

/* Connection probe of a runner that may have crashed. */
struct probe
{
  struct bd_forwarder *forwarder;
  char *runner;
};

static void
end_probe (struct probe *probe, enum bd_crash_probe_result result)
{
  struct bd_forwarder *forwarder = probe->forwarder;

  int64_t now = bd_clock_boot_ms ();

  forwarder->probes_in_progress--;
  if (bd_crashes_probed (forwarder->crashes, now, bd_chunk_of (probe->runner),
                         result)
      && forwarder->mesh)
    bd_mesh_tell_crashes (forwarder->mesh, now);
  free (probe->runner);
  free (probe);
}

static void
on_probe_connected (void *context)
{
  end_probe (context, BD_CRASH_PROBE_ACCEPTED);
}

static void
on_probe_failed (void *context, const struct bd_call_failure *failure)
{
  struct probe *probe = context;
  struct bd_forwarder *forwarder = probe->forwarder;
  struct bd_target *target = bd_targets_find (forwarder->options.targets,
                                              bd_chunk_of (probe->runner));

  if (target)
    bd_forward_record_target_result (forwarder, target,
                                     BD_OUTLIER_UNREACHABLE);
  end_probe (probe, failure->error == BD_ERR_TIMEOUT ? BD_CRASH_PROBE_TIMED_OUT
                                                     : BD_CRASH_PROBE_REFUSED);
}

static const struct bd_call_handler probe_handler
    = { .on_end = on_probe_connected, .on_fail = on_probe_failed };

/* Starts to connect to TARGET.  Returns BD_OK or BD_ERR_NOMEM. */
static int
start_probe (struct bd_forwarder *forwarder, const struct bd_target *target)
{
  struct bd_call_request request
      = { .connect_only = true,
          .connect_timeout_ms = BD_FORWARD_CONNECT_TIMEOUT_MS };
  struct probe *probe = calloc (1, sizeof *probe);

  if (!probe)
    return BD_ERR_NOMEM;
  probe->forwarder = forwarder;
  probe->runner = bd_chunk_copy (target->id);
  request.address.sin_family = AF_INET;
  request.address.sin_addr.s_addr = target->ip;
  request.address.sin_port = target->port;
  if (!probe->runner
      || !bd_client_call (forwarder->options.client, &request, &probe_handler,
                          probe))
    {
      free (probe->runner);
      free (probe);
      return BD_ERR_NOMEM;
    }
  forwarder->probes_in_progress++;
  return BD_OK;
}

void
bd_forward_probe_runners (struct bd_forwarder *forwarder)
{
  const struct bd_target *target;

  while (forwarder->probes_in_progress < PROBES_MAX)
    {
      target = bd_crashes_next_probe (forwarder->crashes, bd_clock_boot_ms ());
      if (!target)
        return;
      /* Without a probe the list of runners decides the case. */
      if (start_probe (forwarder, target) != BD_OK)
        bd_crashes_probed (forwarder->crashes, bd_clock_boot_ms (), target->id,
                           BD_CRASH_PROBE_TIMED_OUT);
    }
}

/* A crash shows as a connection that is closed or reset, or as silence, and so
   does a runner that merely fails to complete a response.  Only a crashed
   runner refuses new connections. */
void
bd_forward_open_crash_case (struct bd_forward *f,
                            enum bd_crash_evidence evidence)
{
  struct bd_forwarder *forwarder = f->forwarder;
  int64_t now = bd_clock_boot_ms ();
  struct bd_crash_attempt attempt
      = { .fingerprint = &f->fingerprint,
          .target = f->target,
          .runner_started_ms = f->target_started_ms,
          .sent_ms = f->sent_ms,
          .evidence = evidence,
          .suspected = f->suspected,
          .has_events = f->first_event_at_ms != 0 };

  bd_crashes_open (forwarder->crashes, now, &attempt);
  if (evidence == BD_CRASH_CONNECTION_LOST)
    bd_forward_probe_runners (forwarder);
}
