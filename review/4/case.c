/* A runner leaves without reporting it: its entry is removed, and it serves on
   for a while.  Meanwhile the store cuts watches that wait. */

#include "../stand/stand.h"

#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAYS 3
#define RUNNERS 3
/* Traffic of the site: 7.7 dispatch-order and 6.39 stock-lookup a second. */
#define ORDERS_PER_S 8
#define LOOKUPS_PER_S 6
#define LIMIT_MS 1500
#define WORK_MS 60
/* The store is left alone for long before, so that it is stable. */
#define REMOVED_AT_MS 8000
/* The runner serves for drainMs and a little longer, then exits. */
#define EXIT_AFTER_MS 2800
/* No watch is cut later than this after the removal. */
#define CUT_AFTER_MS 1500
/* Each gateway's watch is cut once in this interval, after a wait. */
#define CUT_INTERVAL_MS 1000
#define CUT_WAIT_MS 20
#define CUT_LEAD_MS 1500
#define RUN_MS 15000

static const char configuration[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"stock-lookup\",\"host\":\"review.example\","
      "\"prefix\":\"/stock/\",\"type\":\"idempotent\",\"timeoutMs\":800,"
      "\"sloMs\":300,\"priority\":2,\"service\":\"order-desk\","
      "\"maxAttempts\":2,\"public\":false},"
      "{\"name\":\"dispatch-order\",\"host\":\"review.example\","
      "\"prefix\":\"/order/\",\"type\":\"non_idempotent\","
      "\"timeoutMs\":800,\"sloMs\":300,\"priority\":2,"
      "\"service\":\"order-desk\",\"maxAttempts\":1,\"public\":false}],"
      "\"services\":[{\"name\":\"order-desk\",\"healthPath\":\"/healthz\","
      "\"maxConns\":110}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
      "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key-of-review\"],"
      "\"priority\":1}]}";

static struct stand_gateway gateways[GATEWAYS];
static struct stand_runner desks[RUNNERS];
static atomic_uint next_number;
static atomic_uint served;
static atomic_uint not_served;
static _Atomic int64_t removed_ms; /* When the store took the change. */
static _Atomic int64_t last_ms; /* Last arrival at the runner that leaves. */
static atomic_uint late;

static bool
serve (struct stand_runner *runner, int fd,
       const struct stand_request *request)
{
  static const char body[800];
  int64_t removed = atomic_load (&removed_ms);
  int64_t after_ms = stand_now_ms () - removed;

  if (runner == &desks[0] && removed != 0)
    {
      atomic_store (&last_ms, after_ms);
      if (after_ms > STAND_DRAIN_MS)
        atomic_fetch_add (&late, 1);
      stand_record ("runner=%s request=%s ran after_removal_ms=%lld",
                    runner->id, request->id, (long long)after_ms);
    }
  else
    stand_record ("runner=%s request=%s ran", runner->id, request->id);
  stand_sleep_ms (WORK_MS);
  if (runner->ended)
    {
      stand_record ("runner=%s request=%s lost with the runner", runner->id,
                    request->id);
      return false;
    }
  return stand_answer (fd, request, 200, "", body, sizeof body);
}

static void
call_once (bool is_order, unsigned number)
{
  struct stand_caller caller
      = { .gateway = &gateways[number % GATEWAYS], .fd = -1 };
  char id[STAND_ID_BYTES];
  struct stand_result result;

  snprintf (id, sizeof id, "%c%u", is_order ? 'o' : 'l', number);
  stand_record ("caller=%s gateway=%u sent", id, number % GATEWAYS + 1);
  result = is_order
               ? stand_call (&caller, "POST", "/order/2f", id, "", LIMIT_MS)
               : stand_call (&caller, "GET", "/stock/2f", id, "", LIMIT_MS);
  stand_record ("caller=%s status=%d complete=%d ms=%lld", id, result.status,
                result.complete, (long long)result.ms);
  if (result.status == 200 && result.complete)
    atomic_fetch_add (&served, 1);
  else
    atomic_fetch_add (&not_served, 1);
}

static void *
run_order (void *context)
{
  call_once (true, (unsigned)(uintptr_t)context);
  return NULL;
}

static void *
run_lookup (void *context)
{
  call_once (false, (unsigned)(uintptr_t)context);
  return NULL;
}

static void *
send_orders (void *context)
{
  (void)context;
  for (;;)
    {
      unsigned number = atomic_fetch_add (&next_number, 1);

      stand_thread (run_order, (void *)(uintptr_t)number);
      stand_sleep_ms (1000 / ORDERS_PER_S);
    }
  return NULL;
}

static void *
send_lookups (void *context)
{
  (void)context;
  for (;;)
    {
      unsigned number = atomic_fetch_add (&next_number, 1);

      stand_thread (run_lookup, (void *)(uintptr_t)number);
      stand_sleep_ms (1000 / LOOKUPS_PER_S);
    }
  return NULL;
}

static void
start_runners (void)
{
  static const char *const zones[RUNNERS] = { "bole", "akaki", "kality" };

  for (unsigned i = 0; i < RUNNERS; i++)
    {
      snprintf (desks[i].id, sizeof desks[i].id, "i-order-desk-%u", i);
      desks[i].service = "order-desk";
      desks[i].zone = zones[i];
      desks[i].slots = 6;
      desks[i].serve = serve;
      stand_runner_start (&desks[i]);
    }
}

int
main (int argc, char **argv)
{
  const char *setting = getenv ("TROUBLE");
  bool with_trouble = !setting || strcmp (setting, "0") != 0;
  unsigned ends = 0;

  if (argc != 3)
    return STAND_NOT_RUN;
  stand_record_open (argv[1]);
  stand_store_start ();
  stand_store_put ("op/config", configuration);
  start_runners ();
  stand_gateways_start (gateways, GATEWAYS, argv[2]);
  stand_thread (send_orders, NULL);
  stand_thread (send_lookups, NULL);
  stand_sleep_ms (REMOVED_AT_MS - stand_now_ms ());
  if (with_trouble)
    stand_store_cut_watches (CUT_INTERVAL_MS, CUT_WAIT_MS);
  stand_sleep_ms (CUT_LEAD_MS);
  stand_runner_remove (&desks[0]);
  atomic_store (&removed_ms, stand_now_ms ());
  stand_record ("store accepts the removal of runner=%s", desks[0].id);
  stand_sleep_ms (CUT_AFTER_MS);
  stand_store_cut_watches (0, 0);
  stand_sleep_ms (EXIT_AFTER_MS - CUT_AFTER_MS);
  desks[0].ended = true;
  stand_record ("runner=%s exits", desks[0].id);
  stand_sleep_ms (RUN_MS - stand_now_ms ());
  for (size_t i = 0; i < GATEWAYS; i++)
    ends += gateways[i].ends;
  stand_gateways_end ();
  printf ("served %u, not served %u; watches cut %u\n", atomic_load (&served),
          atomic_load (&not_served), stand_store_cut_count ());
  printf ("last request at the runner %lld ms after its removal, "
          "%u later than %d ms\n",
          (long long)atomic_load (&last_ms), atomic_load (&late),
          STAND_DRAIN_MS);
  stand_record ("last_after_removal_ms=%lld late=%u",
                (long long)atomic_load (&last_ms), atomic_load (&late));
  if (atomic_load (&served) == 0 || ends > 0)
    return STAND_NOT_RUN;
  puts (atomic_load (&late) > 0 ? "DRAIN: broken" : "DRAIN: held");
  return atomic_load (&late) > 0 ? STAND_BROKEN : STAND_HELD;
}
