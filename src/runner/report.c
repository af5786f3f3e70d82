/* Load reports of a runner. */

#include "runner/task.h"

void
bd_runner_load (const struct bd_runner *runner, struct bd_load_report *load)
{
  load->queued = bd_tier_queue_length (runner->queue);
  load->queued_above = bd_tier_queue_tier_length (runner->queue, 0);
  load->running = runner->running_count + runner->granted_count;
  load->slots = runner->settings.slots;
  load->token_time_us = runner->token_time_us;
  load->measured_ms = 0;
}

void
bd_runner_fill_load (const struct bd_runner *runner,
                     struct bd_message *message)
{
  struct bd_load_report load;

  bd_runner_load (runner, &load);
  message->queued = load.queued;
  message->queued_above = load.queued_above;
  message->running = load.running;
  message->slots = load.slots;
  message->token_time_us = load.token_time_us;
  message->incarnation = runner->settings.incarnation;
  if (runner->leaving)
    message->flags |= BD_FLAG_LEAVING;
  if (!runner->engine_up)
    message->flags |= BD_FLAG_ENGINE_DOWN;
}
