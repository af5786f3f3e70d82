#include "placement/runner_load.h"

/** Age at which a report no longer tells anything about the runner's queue. */
#define BACKLOG_STALE_MS 3000
/** Age at which a report no longer tells anything about the runner's speed. */
#define SPEED_STALE_MS 30000

void
bd_runner_load_report (struct bd_runner_load *runner,
                       const struct bd_load_report *load)
{
  if (runner->reported && load->measured_ms < runner->load.measured_ms)
    return;
  runner->load = *load;
  runner->reported = true;
  runner->outstanding_at_report = runner->outstanding;
}

void
bd_runner_load_count_reservation (struct bd_runner_load *runner, int delta)
{
  runner->outstanding += delta;
  if (runner->outstanding < 0)
    runner->outstanding = 0;
}

double
bd_runner_load_slots (const struct bd_runner_load *runner)
{
  return runner->load.slots > 0 ? runner->load.slots : 1.0;
}

/** Weight of the last report: from 1 when fresh to 0 at the age STALE_MS. */
static double
report_weight (const struct bd_runner_load *runner, int64_t now_ms,
               double stale_ms)
{
  double age_ms = (double)(now_ms - runner->load.measured_ms);

  if (!runner->reported || age_ms >= stale_ms)
    return 0.0;
  return age_ms > 0.0 ? 1.0 - age_ms / stale_ms : 1.0;
}

double
bd_runner_load_reported (const struct bd_runner_load *runner, uint8_t tier)
{
  double queued = tier == 0 ? runner->load.queued_above : runner->load.queued;

  return (runner->load.running + queued) / bd_runner_load_slots (runner);
}

double
bd_runner_load_backlog (const struct bd_runner_load *runner,
                        const struct bd_peer_load *peers, int64_t now_ms,
                        uint8_t tier)
{
  double weight = report_weight (runner, now_ms, BACKLOG_STALE_MS);
  double new_reservations
      = (double)runner->outstanding - runner->outstanding_at_report;
  double backlog = weight * bd_runner_load_reported (runner, tier)
                   + (1.0 - weight) * peers->backlog
                   + new_reservations / bd_runner_load_slots (runner);

  return backlog > 0.0 ? backlog : 0.0;
}

double
bd_runner_load_token_time_us (const struct bd_runner_load *runner,
                              const struct bd_peer_load *peers, int64_t now_ms)
{
  double weight = report_weight (runner, now_ms, SPEED_STALE_MS);

  if (runner->load.token_time_us == 0)
    return peers->token_time_us;
  return weight * runner->load.token_time_us
         + (1.0 - weight) * peers->token_time_us;
}
