/**
 * @file runner.h
 * The request state machine of a sidecar: grants the runner's slots, decides
 * which keyed requests may run and what is billed.  Performs no input or
 * output: messages and engine events are passed in with the current time, and
 * side effects go through callbacks.
 */
#ifndef BD_RUNNER_H
#define BD_RUNNER_H

#include "common/event.h"
#include "configuration/contract.h"
#include "idempotency/idempotency.h"
#include "placement/placement.h"
#include "limits/tier_queue.h"
#include "wire/message.h"

/** Lease of a granted slot: time in which the entry must send RUN. */
#define BD_GRANT_LEASE_MS 500
/** Time in which the entry must confirm a delivered answer (RECEIPT). */
#define BD_RECEIPT_WAIT_MS 10000

/** A request to the engine. */
struct bd_runner_call
{
  struct bd_id request;
  uint32_t attempt;
  struct bd_chunk method;
  struct bd_chunk path;
  struct bd_chunk content_type;
  struct bd_chunk body;
  struct bd_chunk key_text;
  uint8_t tier;
  int64_t budget_ms; /**< Time to the deadline. */
};

/** Billing record of one answer. */
struct bd_billing_record
{
  struct bd_id request;
  struct bd_id key; /**< Zero when the request had none. */
  struct bd_chunk workspace;
  struct bd_chunk class_name;
  uint32_t attempt;
  uint32_t tokens;
  int32_t status;
};

/** Callbacks for side effects; embed as the first member. */
struct bd_runner_callbacks
{
  void (*send) (struct bd_runner_callbacks *callbacks, struct bd_chunk entry,
                const struct bd_message *message);
  /** Sends CALL to the engine. */
  void (*start) (struct bd_runner_callbacks *callbacks,
                 const struct bd_runner_call *call);
  /** Cancels a call, whose end must still be reported. */
  void (*cancel) (struct bd_runner_callbacks *callbacks, struct bd_id request,
                  uint32_t attempt);
  void (*write_billing_record) (struct bd_runner_callbacks *callbacks,
                                const struct bd_billing_record *bill);
  /** Logs EVENT. */
  void (*log_event) (struct bd_runner_callbacks *callbacks,
                     enum bd_event event, struct bd_id request,
                     uint32_t attempt, const char *detail);
  /** Tells whether this runner is home runner of a caller's own KEY now. */
  bool (*is_home_runner) (struct bd_runner_callbacks *callbacks,
                          struct bd_id key);
  /** Records the time that a request waited for its grant. */
  void (*record_wait) (struct bd_runner_callbacks *callbacks,
                       struct bd_chunk workspace, struct bd_chunk class_name,
                       int64_t wait_ms);
};

struct bd_runner_settings
{
  uint64_t incarnation;
  uint32_t slots; /**< Requests that run at a time. */
  bool fifo;      /**< Queue by arrival, without tiers: a baseline. */
  struct bd_queue_limits queue;
  struct bd_idempotency_settings idempotency_settings;
  uint64_t answer_max_bytes; /**< Limit on one recorded answer. */
};

struct bd_runner;

struct bd_runner *bd_runner_create (const struct bd_runner_settings *settings,
                                    struct bd_runner_callbacks *callbacks);
void bd_runner_destroy (struct bd_runner *runner);

/** Handles a message from an entry.  Unknown requests are ignored. */
void bd_runner_handle_message (struct bd_runner *runner, int64_t now_ms,
                               int64_t wall_ms, struct bd_chunk entry,
                               const struct bd_message *message);

/* Engine events.  Those of unknown or ended calls are ignored. */

void bd_runner_engine_head (struct bd_runner *runner, int64_t now_ms,
                            struct bd_id request, uint32_t attempt, int status,
                            struct bd_chunk content_type);
void bd_runner_engine_data (struct bd_runner *runner, int64_t now_ms,
                            struct bd_id request, uint32_t attempt,
                            struct bd_chunk data);
void bd_runner_engine_end (struct bd_runner *runner, int64_t now_ms,
                           struct bd_id request, uint32_t attempt);
/** SENT: a byte of the request may have reached the engine. */
void bd_runner_engine_failed (struct bd_runner *runner, int64_t now_ms,
                              struct bd_id request, uint32_t attempt,
                              int error, bool sent);

/**
 * Sets the time since which this runner is home runner of its keys, after a
 * change of the pool's published runners.
 */
void bd_runner_set_home_since (struct bd_runner *runner, int64_t wall_ms);

/** Records that a read sent at NOW_MS confirmed the active configuration. */
void bd_runner_confirm_configuration (struct bd_runner *runner,
                                      int64_t now_ms);

/** Handles expired leases, deadlines and receipts; grants free slots. */
void bd_runner_tick (struct bd_runner *runner, int64_t now_ms,
                     int64_t wall_ms);

/** Sets whether the engine answers its health probe. */
void bd_runner_set_engine (struct bd_runner *runner, int64_t now_ms, bool up);
bool bd_runner_engine_up (const struct bd_runner *runner);

/** Stops accepting work and refuses queued requests without a key. */
void bd_runner_start_leaving (struct bd_runner *runner, int64_t now_ms);
bool bd_runner_is_leaving (const struct bd_runner *runner);

/** Tells whether no request is queued, granted, running or unconfirmed. */
bool bd_runner_idle (const struct bd_runner *runner);

/** Returns the current load; measured_ms is 0. */
void bd_runner_load (const struct bd_runner *runner,
                     struct bd_load_report *load);

/** Sets the load and state fields of a message. */
void bd_runner_fill_load (const struct bd_runner *runner,
                          struct bd_message *message);

#endif
