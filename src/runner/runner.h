/**
 * @file runner.h
 * The decisions of a sidecar: who is granted a slot of the runner, which
 * keyed request may run, what is billed.  No input or output: messages and
 * engine events come in with the time, actions go out through a port.
 */
#ifndef BD_RUNNER_H
#define BD_RUNNER_H

#include "common/event.h"
#include "configuration/contract.h"
#include "custody/custody.h"
#include "placement/placement.h"
#include "limits/tier_queue.h"
#include "wire/message.h"

/** How long a granted slot is held for the entry's answer. */
#define BD_GRANT_LEASE_MS 500
/** How long a finished answer waits for the entry's receipt. */
#define BD_RECEIPT_WAIT_MS 10000

/** One call to the engine. */
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
  int64_t budget_ms;
};

/** One line of the bill. */
struct bd_bill
{
  struct bd_id request;
  struct bd_id key; /**< Zero when the request had none. */
  struct bd_chunk workspace;
  struct bd_chunk class_name;
  uint32_t attempt;
  uint32_t tokens;
  int32_t status;
};

/** Where actions go; embed as the first member. */
struct bd_runner_port
{
  void (*send) (struct bd_runner_port *port, struct bd_chunk entry,
                const struct bd_message *message);
  void (*start) (struct bd_runner_port *port,
                 const struct bd_runner_call *call);
  void (*cancel) (struct bd_runner_port *port, struct bd_id request,
                  uint32_t attempt);
  void (*bill) (struct bd_runner_port *port, const struct bd_bill *bill);
  void (*note) (struct bd_runner_port *port, enum bd_event event,
                struct bd_id request, uint32_t attempt, const char *detail);
  /** True when this runner is the home of callers' own KEY now. */
  bool (*is_home) (struct bd_runner_port *port, struct bd_id key);
  /** Measured times of a request: its wait for a grant. */
  void (*waited) (struct bd_runner_port *port, struct bd_chunk workspace,
                  struct bd_chunk class_name, int64_t wait_ms);
};

struct bd_runner_settings
{
  uint64_t incarnation;
  uint32_t slots;
  bool fifo; /**< Baseline: order of arrival, no tiers. */
  struct bd_queue_limits queue;
  struct bd_custody_settings custody;
  uint64_t answer_max_bytes; /**< Of one recorded answer. */
};

struct bd_runner;

struct bd_runner *bd_runner_create (const struct bd_runner_settings *settings,
                                    struct bd_runner_port *port);
void bd_runner_destroy (struct bd_runner *runner);

/** Takes in a message of an entry; unknown requests are ignored. */
void bd_runner_message (struct bd_runner *runner, int64_t now_ms,
                        int64_t wall_ms, struct bd_chunk entry,
                        const struct bd_message *message);

/** Engine events. */
void bd_runner_head (struct bd_runner *runner, int64_t now_ms,
                     struct bd_id request, uint32_t attempt, int status,
                     struct bd_chunk content_type);
void bd_runner_data (struct bd_runner *runner, int64_t now_ms,
                     struct bd_id request, uint32_t attempt,
                     struct bd_chunk data);
void bd_runner_end (struct bd_runner *runner, int64_t now_ms,
                    struct bd_id request, uint32_t attempt);
/** SENT: whether a byte of the request may have reached the engine. */
void bd_runner_failed (struct bd_runner *runner, int64_t now_ms,
                       struct bd_id request, uint32_t attempt, int error,
                       bool sent);

/** The published runners of the pool changed: homes may have moved. */
void bd_runner_home_since (struct bd_runner *runner, int64_t wall_ms);

/** The configuration in force was confirmed by a read sent at NOW_MS. */
void bd_runner_confirm (struct bd_runner *runner, int64_t now_ms);

/** Expires leases, deadlines and receipts; grants what can be granted. */
void bd_runner_tick (struct bd_runner *runner, int64_t now_ms,
                     int64_t wall_ms);

/** The engine answers (or no longer answers) its probe. */
void bd_runner_set_engine (struct bd_runner *runner, int64_t now_ms, bool up);
bool bd_runner_engine_up (const struct bd_runner *runner);

/** Takes no new work; queued work without a key is refused. */
void bd_runner_leave (struct bd_runner *runner, int64_t now_ms);
bool bd_runner_is_leaving (const struct bd_runner *runner);

/** True when nothing is queued, granted, running or awaiting a receipt. */
bool bd_runner_idle (const struct bd_runner *runner);

void bd_runner_load (const struct bd_runner *runner, struct bd_load *load);

/** Fills in the load fields of a message. */
void bd_runner_fill (const struct bd_runner *runner,
                     struct bd_message *message);

#endif
