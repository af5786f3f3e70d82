#include "gateway/forwarding.h"

#include "common/clock.h"

#include <stdlib.h>

/* Most connection probes at a time. */
#define CHECKS_MAX 16

/* Connection probe of a runner that may have crashed. */
struct check
{
  struct bd_forwarder *forwarder;
  char *runner;
};

static void
end_check (struct check *check, enum bd_crash_probe_result result)
{
  struct bd_forwarder *forwarder = check->forwarder;

  forwarder->checks--;
  bd_crashes_probed (forwarder->crashes, bd_clock_boot_ms (),
                     bd_chunk_of (check->runner), result);
  free (check->runner);
  free (check);
}

static void
on_check_end (void *context)
{
  end_check (context, BD_CRASH_PROBE_ACCEPTED);
}

static void
on_check_fail (void *context, const struct bd_call_failure *failure)
{
  struct check *check = context;
  struct bd_forwarder *forwarder = check->forwarder;
  struct bd_target *target = bd_targets_find (forwarder->parts.targets,
                                              bd_chunk_of (check->runner));

  if (target)
    bd_forward_note_result (forwarder, target, BD_RESULT_UNREACHABLE);
  end_check (check, failure->error == BD_ERR_TIMEOUT ? BD_CRASH_PROBE_TIMED_OUT
                                                     : BD_CRASH_PROBE_REFUSED);
}

static const struct bd_call_handler check_handler
    = { .on_end = on_check_end, .on_fail = on_check_fail };

/* Starts to connect to TARGET.  Returns BD_OK or BD_ERR_NOMEM. */
static int
connect_to (struct bd_forwarder *forwarder, const struct bd_target *target)
{
  struct bd_call_request request
      = { .connect_only = true,
          .connect_timeout_ms = BD_FORWARD_CONNECT_TIMEOUT_MS };
  struct check *check = calloc (1, sizeof *check);

  if (!check)
    return BD_ERR_NOMEM;
  check->forwarder = forwarder;
  check->runner = bd_chunk_copy (target->id);
  request.address.sin_family = AF_INET;
  request.address.sin_addr.s_addr = target->ip;
  request.address.sin_port = target->port;
  if (!check->runner
      || !bd_client_call (forwarder->parts.client, &request, &check_handler,
                          check))
    {
      free (check->runner);
      free (check);
      return BD_ERR_NOMEM;
    }
  forwarder->checks++;
  return BD_OK;
}

void
bd_forward_check_runners (struct bd_forwarder *forwarder)
{
  const struct bd_target *target;

  while (forwarder->checks < CHECKS_MAX)
    {
      target = bd_crashes_next_probe (forwarder->crashes, bd_clock_boot_ms ());
      if (!target)
        return;
      /* Without a probe the list of runners decides the case. */
      if (connect_to (forwarder, target) != BD_OK)
        bd_crashes_probed (forwarder->crashes, bd_clock_boot_ms (), target->id,
                           BD_CRASH_PROBE_TIMED_OUT);
    }
}

/* A crash shows as a connection that is closed or reset, or as silence, and so
   does a runner that merely fails to complete a response.  Only a crashed
   runner refuses new connections. */
void
bd_forward_note_crash (struct bd_forward *f, enum bd_crash_evidence sign)
{
  struct bd_forwarder *forwarder = f->forwarder;

  if (f->progressed)
    return;
  bd_crashes_open (forwarder->crashes, bd_clock_boot_ms (), &f->fingerprint,
                   f->target, f->target_born_ms, sign, f->suspected);
  if (sign == BD_CRASH_CONNECTION_LOST)
    bd_forward_check_runners (forwarder);
}
