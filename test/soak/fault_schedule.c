/* Chooses the faults: their kinds, times and durations. */
#include "soak.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define FAULT_INTERVAL_MS 150
#define PLANNED_INTERVAL_MS 700
#define DURATION_SPREAD_MS 4000
#define DURATION_MIN_MS 300
#define FAULTS_MAX 16
/* Duration of a crash caused by a fatal request; one in so many is short. */
#define CRASH_DURATION_MS 4000
#define SHORT_CRASH_MS 150
#define SHORT_ONE_IN 3
#define SEED_FACTOR UINT64_C (0x9e3779b97f4a7c15)
#define NO_INDEX UINT32_MAX
/* A runner that shuts down is removed after the first time and starts again
   after the second. */
#define DRAIN_DURATION_MS 3000
#define ABSENCE_MS 2000
/* Greatest factor of the callers' request rate. */
#define LOAD_FACTOR_MAX 8

/* An active fault that ends at a set time. */
struct fault
{
  void (*end) (struct soak *soak, struct fault *fault);
  int64_t until_ms;
  size_t index; /* Runner, or SOAK_RUNNERS_MAX + gateway. */
  bool planned;
};

static struct
{
  struct soak *soak;
  uv_timer_t timer;
  struct fault faults[FAULTS_MAX];
  size_t count;
  bool all_faults;
  bool ending_all;
  uint64_t version;
  uint64_t random; /* Separate, so that a seed gives the same faults. */
} plan;

/* Configuration. */

static void
add_route (struct bd_buffer *out, const char *prefix, const char *type,
           const char *service, const char *more)
{
  bd_buffer_printf (out,
                    "%s{\"name\":\"%s\",\"host\":\"" SOAK_HOST
                    "\",\"prefix\":\"/%s/\",\"type\":\"%s\","
                    "\"timeoutMs\":%d,\"sloMs\":1000,\"priority\":1,"
                    "\"maxAttempts\":%d,\"service\":\"%s\"%s}",
                    out->data[out->length - 1] == '[' ? "" : ",", prefix,
                    prefix, type, SOAK_DEADLINE_MS, SOAK_SENDS_MAX, service,
                    more);
}

void
soak_publish (struct soak *soak, bool moved)
{
  struct bd_buffer out = { 0 };
  char *text;

  plan.version += 1 + soak_random_below (&soak->random, 5);
  soak->route_moved = moved;
  soak->published_ms = soak_now_ms (soak);
  bd_buffer_printf (&out, "{\"version\":%llu,\"routes\":[",
                    (unsigned long long)plan.version);
  add_route (&out, "safe", "idempotent", moved ? "mail" : "desk", "");
  add_route (&out, "once", "non_idempotent", "desk", "");
  add_route (&out, "stream", "streaming", "llm", ",\"sticky\":true");
  add_route (&out, "resume", "streaming", "llm",
             ",\"sticky\":true,\"resumable\":true");
  bd_buffer_printf (&out, "],\"services\":["
                          "{\"name\":\"desk\",\"maxConns\":64},"
                          "{\"name\":\"mail\",\"maxConns\":64},"
                          "{\"name\":\"llm\",\"maxConns\":64,"
                          "\"engine\":{\"slots\":16}}],"
                          "\"tenants\":[{\"name\":\"" SOAK_WORKSPACE
                          "\",\"apiKeys\":[\"" SOAK_KEY "\"]}],"
                          "\"limits\":{\"maxHeaderBytes\":16384,"
                          "\"maxBodyBytes\":65536,\"headerTimeoutMs\":3000,"
                          "\"idleTimeoutMs\":15000}}");
  text = g_strndup (out.data, out.length);
  soak_store_write (soak->store, "op/config", text);
  soak_log (soak, "configuration version %llu, /safe/ %s",
            (unsigned long long)plan.version, moved ? "moved" : "not moved");
  g_free (text);
  bd_buffer_clear (&out);
}

/* Faults with a duration. */

static void
open_fault (struct soak *soak,
            void (*end) (struct soak *soak, struct fault *fault), size_t index,
            int64_t duration_ms, bool planned)
{
  plan.faults[plan.count++]
      = (struct fault){ .end = end,
                        .until_ms = soak_now_ms (soak) + duration_ms,
                        .index = index,
                        .planned = planned };
  soak->faults++;
  if (!planned)
    soak->open_faults++;
}

static void
close_fault (struct soak *soak, size_t index)
{
  struct fault fault = plan.faults[index];

  plan.faults[index] = plan.faults[--plan.count];
  if (!fault.planned)
    {
      soak->open_faults--;
      soak->last_fault_ms = soak_now_ms (soak);
    }
  fault.end (soak, &fault);
}

static int64_t
random_duration (void)
{
  return DURATION_MIN_MS
         + soak_random_below (&plan.random, DURATION_SPREAD_MS);
}

static bool
has_fault (size_t runner)
{
  for (size_t i = 0; i < plan.count; i++)
    if (plan.faults[i].index == runner)
      return true;
  return false;
}

/* Picks a runner without a fault; NO_INDEX when its service would be left
   with fewer than two others. */
static size_t
pick_runner (struct soak *soak)
{
  size_t index
      = soak_random_below (&plan.random, (uint32_t)soak->runner_count);
  const char *service = soak_runner_service (soak->runners[index]);
  size_t others = 0;

  if (has_fault (index) || soak_runner_leaving (soak->runners[index]))
    return NO_INDEX;
  for (size_t i = 0; i < soak->runner_count; i++)
    if (i != index && !has_fault (i) && !soak_runner_leaving (soak->runners[i])
        && strcmp (service, soak_runner_service (soak->runners[i])) == 0)
      others++;
  return others > 1 ? index : NO_INDEX;
}

/* Runners. */

static void
end_proxy_mode (struct soak *soak, struct fault *fault)
{
  soak_proxy_set (soak_runner_proxy (soak->runners[fault->index]),
                  SOAK_PROXY_PASS);
}

static void
disturb_connections (struct soak *soak)
{
  static const enum soak_proxy_mode modes[]
      = { SOAK_PROXY_DELAY, SOAK_PROXY_BLACKHOLE,
          SOAK_PROXY_BLACKHOLE_RESPONSES, SOAK_PROXY_BLACKHOLE_OPEN };
  size_t index = pick_runner (soak);
  enum soak_proxy_mode mode = modes[soak_random_below (&plan.random, 4)];

  if (index == NO_INDEX)
    return;
  soak_log (soak, "runner %zu: proxy mode %d", index, (int)mode);
  soak_proxy_set (soak_runner_proxy (soak->runners[index]), mode);
  open_fault (soak, end_proxy_mode, index, random_duration (), false);
}

static void
reset_connections (struct soak *soak)
{
  size_t index
      = soak_random_below (&plan.random, (uint32_t)soak->runner_count);

  soak_log (soak, "runner %zu: connections reset", index);
  soak_proxy_reset (soak_runner_proxy (soak->runners[index]));
  soak->faults++;
  soak->last_fault_ms = soak_now_ms (soak);
}

static void
end_misbehaviour (struct soak *soak, struct fault *fault)
{
  struct soak_fault_rates none = { 0 };

  soak_runner_set_fault_rates (soak->runners[fault->index], &none);
}

/* Share of rejections with Retry-After while a runner misbehaves. */
#define PAUSE_SHARE 0.5

static void
start_misbehaviour (struct soak *soak)
{
  size_t index = pick_runner (soak);
  struct soak_fault_rates rates = { 0 };
  double *shares[] = { &rates.errors,    &rates.rejections, &rates.resets,
                       &rates.truncated, &rates.garbled,    &rates.slow };
  uint32_t which = soak_random_below (&plan.random, G_N_ELEMENTS (shares));

  if (index == NO_INDEX)
    return;
  rates.pauses = PAUSE_SHARE;
  *shares[which] = 0.1 + soak_random_below (&plan.random, 10) / 10.0;
  soak_log (soak, "runner %zu: misbehaviour %u", index, which);
  soak_runner_set_fault_rates (soak->runners[index], &rates);
  open_fault (soak, end_misbehaviour, index, random_duration (), false);
}

static void
end_crash (struct soak *soak, struct fault *fault)
{
  struct soak_runner *runner = soak->runners[fault->index];

  /* Half of the runners start under a new identifier. */
  if (soak_random_chance (&plan.random, 0.5))
    soak_runner_remove (runner);
  soak_log (soak, "runner %zu: restarted", fault->index);
  soak_runner_start (runner, soak_runner_service (runner));
}

/* The host is back, and connections from before are reset. */
static void
end_host_down (struct soak *soak, struct fault *fault)
{
  struct soak_runner *runner = soak->runners[fault->index];

  soak_runner_remove (runner);
  soak_proxy_reset (soak_runner_proxy (runner));
  soak_log (soak, "runner %zu: restarted", fault->index);
  soak_runner_start (runner, soak_runner_service (runner));
}

/* Some runners are back at once. */
static int64_t
crash_duration (const struct soak *soak)
{
  return soak->runner_crashes % SHORT_ONE_IN == 0 ? SHORT_CRASH_MS
                                                  : CRASH_DURATION_MS;
}

bool
soak_plan_crash_runner (struct soak *soak, struct soak_runner *runner,
                        bool host_down)
{
  size_t index = 0;

  while (soak->runners[index] != runner)
    index++;
  if (plan.count + 1 >= FAULTS_MAX || has_fault (index))
    return false;
  soak_log (soak, "runner %zu: crashes under a fatal request%s", index,
            host_down ? ", host down" : "");
  if (host_down)
    soak_proxy_set (soak_runner_proxy (runner), SOAK_PROXY_HOST_DOWN);
  else
    soak_runner_crash (runner);
  open_fault (soak, host_down ? end_host_down : end_crash, index,
              crash_duration (soak), false);
  return true;
}

static void
crash_runner (struct soak *soak)
{
  size_t index = pick_runner (soak);

  if (index == NO_INDEX)
    return;
  soak_log (soak, "runner %zu: crash", index);
  soak_runner_crash (soak->runners[index]);
  open_fault (soak, end_crash, index, random_duration (), false);
}

static void
end_absence (struct soak *soak, struct fault *fault)
{
  struct soak_runner *runner = soak->runners[fault->index];

  soak_log (soak, "runner %zu: started", fault->index);
  soak_runner_start (runner, soak_runner_service (runner));
}

/* Removes a draining runner once it has no requests. */
static void
end_draining (struct soak *soak, struct fault *fault)
{
  struct soak_runner *runner = soak->runners[fault->index];

  if (soak_runner_busy (runner) && !plan.ending_all)
    {
      open_fault (soak, end_draining, fault->index, DURATION_MIN_MS, true);
      return;
    }
  soak_log (soak, "runner %zu: removed", fault->index);
  soak_runner_remove (runner);
  soak_runner_crash (runner);
  open_fault (soak, end_absence, fault->index, ABSENCE_MS, true);
}

static void
drain_runner (struct soak *soak)
{
  size_t index = pick_runner (soak);

  if (index == NO_INDEX)
    return;
  soak_log (soak, "runner %zu: drains", index);
  soak_runner_drain (soak->runners[index]);
  open_fault (soak, end_draining, index, DRAIN_DURATION_MS, true);
}

/* The store. */

static void
end_store (struct soak *soak, struct fault *fault)
{
  (void)fault;
  soak_store_set (soak->store, SOAK_STORE_UP);
  soak_proxy_set (soak_store_proxy (soak->store), SOAK_PROXY_PASS);
}

static void
disturb_store (struct soak *soak)
{
  uint32_t which = soak_random_below (&plan.random, 6);

  if (soak->calm_store)
    return;
  soak_log (soak, "store: fault %u", which);
  if (which < 4)
    soak_store_set (soak->store,
                    (enum soak_store_mode) (SOAK_STORE_BUSY + which));
  else
    soak_proxy_set (soak_store_proxy (soak->store),
                    which == 4 ? SOAK_PROXY_BLACKHOLE : SOAK_PROXY_REFUSE);
  open_fault (soak, end_store, NO_INDEX, random_duration (), false);
}

static void
compact_store (struct soak *soak)
{
  soak_log (soak, "store: history compacted");
  soak_store_compact (soak->store);
}

/* Writes runner entries that are mostly invalid, as a foreign writer might. */
static void
write_invalid_entry (struct soak *soak)
{
  static const char *const values[]
      = { "{",
          "[]",
          "{\"service\":\"desk\"}",
          "{\"service\":\"desk\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\","
          "\"slots\":16,\"state\":\"lost\"}",
          "{\"service\":\"desk\",\"address\":\"x\",\"zone\":\"z\","
          "\"slots\":16,\"state\":\"ready\"}",
          "{\"service\":7,\"address\":\"127.0.0.1:1\",\"zone\":\"z\","
          "\"slots\":\"a\",\"state\":\"ready\"}",
          NULL };
  char key[32];

  snprintf (key, sizeof key, "servers/x%u",
            soak_random_below (&plan.random, 4));
  soak_log (soak, "store: invalid runner entry");
  soak_store_write (
      soak->store, key,
      values[soak_random_below (&plan.random, G_N_ELEMENTS (values))]);
}

/* Returns of the store from an older copy.  They have a schedule of their own,
   so that a seed's other faults stay the same. */

#define RETURN_STEP_MS 500
#define RETURN_CYCLE_STEPS 16
/* Steps of a cycle: the copy is made, the store returns from it, and what was
   lost is written again. */
#define RETURN_COPY_STEP 2
#define RETURN_STEP 8
#define RETURN_WRITE_STEP 10

static struct
{
  uv_timer_t timer;
  uint32_t step;
} returns;

static bool
is_written_by_runner (const struct soak *soak, const char *key)
{
  for (size_t i = 0; i < soak->runner_count; i++)
    if (soak_runner_has_key (soak->runners[i], key))
      return true;
  return false;
}

/* The operator and the runners write again what the copy lacks, and entries of
   runners that have left expire. */
static void
write_again (struct soak *soak)
{
  GPtrArray *keys = soak_store_keys (soak->store);

  for (guint i = 0; i < keys->len; i++)
    if (g_str_has_prefix (keys->pdata[i], "servers/")
        && !is_written_by_runner (soak, keys->pdata[i]))
      soak_store_write (soak->store, keys->pdata[i], NULL);
  g_ptr_array_free (keys, TRUE);
  for (size_t i = 0; i < soak->runner_count; i++)
    soak_runner_write_again (soak->runners[i]);
  soak_publish (soak, soak->route_moved);
}

static void
on_return_step (uv_timer_t *timer)
{
  struct soak *soak = timer->data;

  switch (returns.step++ % RETURN_CYCLE_STEPS)
    {
    case RETURN_COPY_STEP:
      soak_store_copy (soak->store);
      return;
    case RETURN_STEP:
      soak_log (soak, "store: returns from an older copy");
      soak_store_return (soak->store);
      soak->faults++;
      break;
    case RETURN_WRITE_STEP:
      write_again (soak);
      break;
    default:
      return;
    }
  soak->last_fault_ms = soak_now_ms (soak);
}

static void
start_returns (struct soak *soak)
{
  returns.step = (uint32_t)(soak->seed % RETURN_CYCLE_STEPS);
  uv_timer_init (&soak->loop, &returns.timer);
  returns.timer.data = soak;
  uv_timer_start (&returns.timer, on_return_step, RETURN_STEP_MS,
                  RETURN_STEP_MS);
}

/* Ends the returns; a store that has just returned is completed. */
static void
end_returns (struct soak *soak)
{
  uv_timer_stop (&returns.timer);
  write_again (soak);
}

/* The end of all gateways at once, on a schedule of its own. */

#define END_ALL_INTERVAL_MS 5000

static uv_timer_t end_all_timer;

static void
on_end_all (uv_timer_t *timer)
{
  struct soak *soak = timer->data;

  soak_log (soak, "all gateways: killed");
  for (size_t i = 0; i < soak->gateway_count; i++)
    if (soak_gateway_running (soak->gateways[i])
        && !soak_gateway_paused (soak->gateways[i]))
      soak_gateway_signal (soak->gateways[i], SIGKILL);
  soak->faults++;
  soak->last_fault_ms = soak_now_ms (soak);
}

static void
start_end_all (struct soak *soak)
{
  if (!soak->ends_all)
    return;
  uv_timer_init (&soak->loop, &end_all_timer);
  end_all_timer.data = soak;
  uv_timer_start (&end_all_timer, on_end_all, END_ALL_INTERVAL_MS,
                  END_ALL_INTERVAL_MS);
}

/* Gateways. */

static void
end_pause (struct soak *soak, struct fault *fault)
{
  soak_gateway_signal (soak->gateways[fault->index - SOAK_RUNNERS_MAX],
                       SIGCONT);
}

/* Picks a running gateway; NULL when not more than half of them run. */
static struct soak_gateway *
pick_gateway (struct soak *soak, size_t *index)
{
  size_t up = 0;

  for (size_t i = 0; i < soak->gateway_count; i++)
    up += soak_gateway_stable_ms (soak->gateways[i]) > 0;
  *index = soak_random_below (&plan.random, (uint32_t)soak->gateway_count);
  if (up * 2 <= soak->gateway_count
      || soak_gateway_stable_ms (soak->gateways[*index]) == 0)
    return NULL;
  return soak->gateways[*index];
}

static void
pause_gateway (struct soak *soak)
{
  size_t index;
  struct soak_gateway *gateway = pick_gateway (soak, &index);

  if (!gateway)
    return;
  soak_gateway_signal (gateway, SIGSTOP);
  open_fault (soak, end_pause, SOAK_RUNNERS_MAX + index, random_duration (),
              false);
}

static void
kill_gateway (struct soak *soak)
{
  size_t index;
  struct soak_gateway *gateway = pick_gateway (soak, &index);

  if (!gateway)
    return;
  soak_gateway_signal (gateway, SIGKILL);
  soak->faults++;
  soak->last_fault_ms = soak_now_ms (soak);
}

static void
stop_gateway (struct soak *soak)
{
  size_t index;
  struct soak_gateway *gateway = pick_gateway (soak, &index);

  for (size_t i = 0; i < soak->gateway_count; i++)
    if (soak_gateway_stopping (soak->gateways[i]))
      return;
  if (gateway)
    soak_gateway_signal (gateway, SIGTERM);
}

static void
reload_settings (struct soak *soak)
{
  size_t index;
  struct soak_gateway *gateway = pick_gateway (soak, &index);

  if (gateway)
    soak_gateway_signal (gateway, SIGHUP);
}

static void
move_route (struct soak *soak)
{
  soak_publish (soak, !soak->route_moved);
}

/* Callers. */

static void
end_raised_load (struct soak *soak, struct fault *fault)
{
  (void)fault;
  soak_callers_set_load (1);
  soak_log (soak, "callers: usual rate");
}

static void
raise_load (struct soak *soak)
{
  int times = 2 + (int)soak_random_below (&plan.random, LOAD_FACTOR_MAX - 1);

  soak_log (soak, "callers: %d times the usual rate", times);
  soak_callers_set_load (times);
  open_fault (soak, end_raised_load, NO_INDEX, random_duration (), false);
}

/* Timer and phases. */

static void
end_due_faults (struct soak *soak)
{
  for (size_t i = 0; i < plan.count;)
    if (plan.faults[i].until_ms <= soak_now_ms (soak))
      close_fault (soak, i);
    else
      i++;
}

static void
on_timer (uv_timer_t *timer)
{
  static void (*const faults[]) (struct soak * soak)
      = { disturb_connections, disturb_connections, reset_connections,
          start_misbehaviour,  start_misbehaviour,  crash_runner,
          raise_load,          disturb_store,       write_invalid_entry,
          pause_gateway,       kill_gateway,        drain_runner,
          compact_store,       stop_gateway,        reload_settings,
          move_route };
  enum
  {
    PLANNED = 11
  };
  struct soak *soak = timer->data;
  uint32_t first = plan.all_faults ? 0 : PLANNED;

  end_due_faults (soak);
  if (plan.count + 1 < FAULTS_MAX)
    faults[first
           + soak_random_below (&plan.random, G_N_ELEMENTS (faults) - first)](
        soak);
}

static void
start_phase (struct soak *soak, bool all_faults)
{
  plan.soak = soak;
  plan.random = soak->seed * SEED_FACTOR + all_faults + 1;
  plan.all_faults = all_faults;
  uv_timer_init (&soak->loop, &plan.timer);
  plan.timer.data = soak;
  uv_timer_start (&plan.timer, on_timer, FAULT_INTERVAL_MS,
                  all_faults ? FAULT_INTERVAL_MS : PLANNED_INTERVAL_MS);
}

void
soak_plan_start_faults (struct soak *soak)
{
  start_phase (soak, true);
  soak_limits_start (soak);
  if (!soak->calm_store)
    start_returns (soak);
  start_end_all (soak);
}

void
soak_plan_start_planned (struct soak *soak)
{
  start_phase (soak, false);
}

void
soak_plan_stop (struct soak *soak)
{
  (void)soak;
  uv_timer_stop (&plan.timer);
}

void
soak_plan_end_faults (struct soak *soak)
{
  uv_timer_stop (&plan.timer);
  if (end_all_timer.data)
    uv_timer_stop (&end_all_timer);
  soak_limits_end (soak);
  if (returns.timer.data)
    end_returns (soak);
  returns.timer.data = NULL;
  plan.ending_all = true;
  /* The end of a fault can start another one. */
  while (plan.count > 0)
    close_fault (soak, 0);
  plan.ending_all = false;
  for (size_t i = 0; i < soak->gateway_count; i++)
    if (soak_gateway_paused (soak->gateways[i]))
      soak_gateway_signal (soak->gateways[i], SIGCONT);
  soak->last_fault_ms = soak_now_ms (soak);
}
