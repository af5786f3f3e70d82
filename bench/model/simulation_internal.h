/**
 * @file simulation_internal.h
 * Internals of the simulation, shared by simulation.c (event loop, gateways
 * and runners), call.c (life cycle of a request) and result.c (statistics).
 */
#ifndef MODEL_SIMULATION_INTERNAL_H
#define MODEL_SIMULATION_INTERNAL_H

#include "simulation.h"

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
/* A caller gives up on a stream after a silence of the longest of: a minimum,
   a multiple of the latency objective and a multiple of the longest gap. */
#define TIMEOUT_MIN_MS 2000.0
#define TIMEOUT_OBJECTIVES 4.0
#define TIMEOUT_GAPS 8.0
/* Largest share of the time left that a caller waits before a retry. */
#define RETRY_WAIT_SHARE 0.33
/* Size of a request: prompt tokens + OUTPUT_WEIGHT * output tokens.  Worth of
   its answer, of the mean of its class: WORTH_FIXED + WORTH_SIZED * size /
   mean size, at most WORTH_SIZE_MAX. */
#define OUTPUT_WEIGHT 10.0
#define WORTH_FIXED 0.3
#define WORTH_SIZED 0.7
#define WORTH_SIZE_MAX 4.0
/* Windows of the worth over time. */
#define WINDOW_MS 2000.0
#define WINDOWS_MAX 128
/* Sliding windows in which a class may starve (sim_result.starved). */
#define STARVED_WINDOW_MS 5000.0
#define STARVED_STEP_MS 1000.0
#define STARVED_MIN 10
#define STARVED_DIVISOR 12
/* Delay until all gateways know of a new or leaving runner. */
#define MEMBERSHIP_LAG_MS 800.0
/* Time from a runner's announced leaving to its removal. */
#define DRAIN_PERIOD_MS 2000.0
#define CONNECT_FAILS_MS 1.0

enum event_kind
{
  EVENT_ARRIVAL = 0,
  EVENT_ROUTE,   /* A gateway or the coordinator selects a runner. */
  EVENT_SUBMIT,  /* A request reaches its runner. */
  EVENT_FETCHED, /* A prefix has been fetched from another runner. */
  EVENT_WAKE,    /* A request may be ready to start at a runner. */
  EVENT_STEP_END,
  EVENT_GOSSIP, /* A gateway learns its peers' load. */
  EVENT_FAULT,
  EVENT_RECOVER,
  EVENT_JOIN,
  EVENT_LEAVE,
  EVENT_REMOVED,
  EVENT_TIMEOUT,
  EVENT_RETRY,
  EVENT_BEGIN_REPORTED, /* The coordinator learns of a first event. */
  EVENT_END_REPORTED    /* The coordinator learns of an end. */
};

struct event
{
  struct bd_heap_node node;
  enum event_kind kind;
  void *subject;   /* Call, runner or fault, by the kind. */
  uint32_t number; /* attempt_seq of the call, or an index of a class, gateway
                      or runner. */
};

struct call;

struct runner
{
  struct engine *engine;
  char id[16];
  char zone[16];
  uint16_t port;
  bool down; /* Crashed; connections fail. */
  bool listed;
  struct bd_software software;
  double link_free_ms; /* End of the transfers to and from the runner. */
};

struct gateway
{
  struct bd_targets *targets;
  struct bd_selector *selector;
  struct bd_target *by_runner[RUNNERS_MAX]; /* By the runner's index. */
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

/* A request of a caller, over all its attempts. */
struct call
{
  struct engine_request request;
  struct simulation *sim;
  const struct sim_class *class;
  size_t class_index;
  double arrived_ms;
  double deadline_ms;
  double size; /* See OUTPUT_WEIGHT. */
  int workspace_priority;
  uint32_t retries;     /* Retries by the caller. */
  uint32_t attempt_seq; /* Raised when an attempt ends; events scheduled with
                           an older value are ignored. */
  struct gateway *gateway;
  enum call_state state;
  double first_ms; /* Time from arrival to the first event. */
  double last_ms;  /* Time of the last event. */
  double worst_gap_ms;
  uint32_t event_count;
  double first_event_at_ms;
  /* Hash of the software version that wrote the first event, with which the
     answer has to go on; BD_SOFTWARE_ANY: no event yet. */
  uint64_t software;
  /* The current attempt. */
  struct runner *runner;
  struct runner *source; /* Runner to fetch the prefix from, or NULL. */
  uint32_t runners_reached;
  uint32_t tried[TRIED_MAX]; /* Low 32 bits of the runners' hashes. */
  size_t tried_count;
  uint32_t ledger_number; /* Number of the assignment in the ledger. */
  double placed_ms;
  /* Load that the attempt adds at a runner, and whose view it is in. */
  uint64_t assigned_tokens;
  struct gateway *assigned_gateway;
  size_t assigned_runner;
  bool broken;            /* The answer broke off and has not gone on yet. */
  bool counts_as_waiting; /* Counts as waiting for prefill. */
  bool counts_in_flight;  /* Counts as in flight. */
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
  uint64_t revision;   /* Revision of the last change to a target. */
  int lowest_priority; /* Largest number: the least urgent. */
  double *popularity[SIM_CLASSES_MAX]; /* Cumulative weights of prefixes. */
  uint64_t fetched_tokens;
  uint64_t resumed_count;
  uint64_t joined_count;
};

/** Schedules an event of KIND at AT_MS. */
void sim_schedule (struct simulation *sim, double at_ms, enum event_kind kind,
                   void *subject, uint32_t number);

/** Returns the time that routing decisions use; it starts at 1. */
int64_t sim_clock_ms (const struct simulation *sim);

/** Starts the runner's next step if it is up, idle and has work. */
void sim_start_step (struct simulation *sim, struct runner *runner);

/** Removes the call from its runner's queued prefill. */
void call_finish_prefill (struct call *call);

/** Removes the call from its runner's assigned load. */
void call_release_assignment (struct call *call);

/** Selects a runner and sends the call there, or refuses the call. */
void call_route (struct simulation *sim, struct call *call);

/** Handles the arrival at the runner; fetches the prefix first if planned. */
void call_submit (struct simulation *sim, struct call *call);

/** Submits the request to the runner's engine. */
void call_enqueue (struct simulation *sim, struct call *call);

/** Handles a failed attempt; RAN: the engine may have run it. */
void call_attempt_failed (struct simulation *sim, struct call *call, bool ran);

/** Engine callback: REQUEST has MADE output tokens; DONE: it has ended. */
void call_on_token (void *context, struct engine_request *request,
                    uint32_t made, bool done);

/** Sends the caller's request to a random gateway. */
void call_start_attempt (struct simulation *sim, struct call *call);

/** Ends the call or retries it when its timeout or deadline has passed. */
void call_check_timeout (struct simulation *sim, struct call *call);

/** Computes the statistics of all calls. */
void sim_summarize (const struct simulation *sim, struct sim_result *result);

#endif
