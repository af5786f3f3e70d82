/**
 * @file course.h
 * Private to the model of callers: world.c (events, gateways and runners),
 * call.c (the course of a request) and result.c (what came of all).
 */
#ifndef MODEL_COURSE_H
#define MODEL_COURSE_H

#include "world.h"

#include "balance/decision.h"
#include "balance/ledger.h"
#include "balance/outlier.h"
#include "common/heap.h"
#include "common/random.h"

#define US_PER_MS 1000.0
#define MS_PER_S 1000.0
#define TOKENS_PER_K 1000.0
#define GATEWAYS_MAX 512
#define RUNNERS_MAX 1024
#define TRIED_MAX 4
#define CALLER_RETRIES 1
/* A caller leaves a stream after a pause of the longest of these. */
#define TIMEOUT_MIN_MS 2000.0
#define TIMEOUT_OBJECTIVES 4.0
#define TIMEOUT_GAPS 8.0
/* The part of its time left that a refused caller waits at most. */
#define RETRY_WAIT_SHARE 0.33
/* Weight of an answer's tokens in the size of a request, and how its worth
   goes with its size. */
#define OUTPUT_WEIGHT 10.0
#define WORTH_FIXED 0.3
#define WORTH_SIZED 0.7
#define WORTH_SIZE_MAX 4.0
#define WINDOW_MS 2000.0
#define WINDOWS_MAX 128
#define STARVED_WINDOW_MS 5000.0
#define STARVED_STEP_MS 1000.0
#define STARVED_MIN 10
#define STARVED_DIVISOR 12
/* A new or lost runner is known to all after this. */
#define MEMBERSHIP_LAG_MS 800.0
#define DRAIN_PERIOD_MS 2000.0
#define CONNECT_FAILS_MS 1.0

enum event_kind
{
  EVENT_ARRIVAL = 0,
  EVENT_ROUTE,
  EVENT_SUBMIT,
  EVENT_FETCHED,
  EVENT_WAKE,
  EVENT_STEP_END,
  EVENT_GOSSIP,
  EVENT_FAULT,
  EVENT_RECOVER,
  EVENT_JOIN,
  EVENT_LEAVE,
  EVENT_REMOVED,
  EVENT_TIMEOUT,
  EVENT_RETRY,
  EVENT_BEGIN_REPORTED,
  EVENT_END_REPORTED
};

struct event
{
  struct bd_heap_node node;
  enum event_kind kind;
  void *subject;
  uint32_t number; /* Of the attempt it is for, or an index. */
};

struct call;

struct runner
{
  struct engine *engine;
  char id[16];
  char zone[16];
  uint16_t port;
  bool down;
  bool listed;
  double link_free_ms; /* When transfers to and from it are over. */
};

struct gateway
{
  struct bd_targets *targets;
  struct bd_choice *choice;
  struct bd_target *by_runner[RUNNERS_MAX];
  char zone[16];
  uint64_t random;
};

enum call_state
{
  CALL_OPEN = 0,
  CALL_SERVED,
  CALL_REFUSED,
  CALL_FAILED
};

struct call
{
  struct engine_request request;
  struct simulation *sim;
  const struct sim_class *class;
  size_t class_index;
  double arrived_ms;
  double deadline_ms;
  double size;
  int workspace_priority;
  uint32_t retries;
  uint32_t
      attempt_seq; /* Of the attempt; later events of older ones are void. */
  struct gateway *gateway;
  enum call_state state;
  double first_ms;
  double last_ms;
  double worst_gap_ms;
  uint32_t event_count;
  double first_event_at_ms;
  /* The attempt. */
  struct runner *runner;
  struct runner *source; /* To fetch the part from; or NULL. */
  uint32_t runners_reached;
  uint32_t tried[TRIED_MAX]; /* Low halves of hashes. */
  size_t tried_count;
  uint32_t ledger_number; /* Number in the ledger. */
  double placed_ms;
  uint64_t charged_tokens;
  struct gateway *charged_gateway;
  size_t charged_runner;
  bool charged_prefill;
  bool charged_slot;
  bool is_short;
};

struct simulation
{
  const struct sim_scenario *scenario;
  enum sim_policy policy;
  uint64_t random;
  double now_ms;
  struct bd_heap heap;
  uint64_t last_event_order;
  struct runner runners[RUNNERS_MAX];
  size_t runner_count;
  struct gateway gateways[GATEWAYS_MAX];
  struct gateway coordinator;
  struct bd_ledger *ledger;
  uint32_t attempt_count;
  struct call **calls;
  size_t call_count;
  size_t call_capacity;
  uint64_t revision;
  int least_priority;
  double *popularity[SIM_CLASSES_MAX];
  uint64_t fetched_tokens;
};

/** Plans an event of KIND at AT_MS. */
void sim_schedule (struct simulation *sim, double at_ms, enum event_kind kind,
                   void *subject, uint32_t number);

/** The time as the decisions see it, from 1 on. */
int64_t sim_clock_ms (const struct simulation *sim);

/** Has the runner begin its next step, if it can. */
void sim_start_step (struct simulation *sim, struct runner *runner);

/** The call no longer counts as waiting to be read at its runner. */
void call_uncharge_prefill (struct call *call);

/** The call no longer counts at its runner. */
void call_uncharge (struct call *call);

/** Sends the call to a runner, or refuses it. */
void call_route (struct simulation *sim, struct call *call);

/** The request has come to its runner. */
void call_submit (struct simulation *sim, struct call *call);

/** The engine takes the request. */
void call_enqueue (struct simulation *sim, struct call *call);

/** The attempt failed; RAN: it may have run. */
void call_attempt_failed (struct simulation *sim, struct call *call, bool ran);

/** An engine made tokens of a request. */
void call_on_token (void *context, struct engine_request *request,
                    uint32_t made, bool done);

/** The caller sends the request to a gateway. */
void call_start_attempt (struct simulation *sim, struct call *call);

/** The caller's patience, or its time, is over. */
void call_check_timeout (struct simulation *sim, struct call *call);

/** Adds up what came of all calls. */
void sim_summarize (const struct simulation *sim, struct sim_result *result);

#endif
