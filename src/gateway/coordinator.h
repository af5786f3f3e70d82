/**
 * @file coordinator.h
 * Decides on requests for all instances that ask, with exact knowledge of
 * what they have in flight, and tells the instances that come next what they
 * would need to take over.
 */
#ifndef BD_COORDINATOR_H
#define BD_COORDINATOR_H

#include "balance/decision.h"
#include "gateway/inventory.h"
#include "gateway/mesh.h"
#include "gateway/placing.h"

struct bd_coordinator;

struct bd_coordinator_options
{
  uint32_t ip; /**< Of this instance. */
  struct bd_choice *choice;
  struct bd_targets *targets;
  struct bd_stats *stats;
  struct bd_inventory *inventory; /**< May be NULL. */
};

struct bd_coordinator *
bd_coordinator_create (const struct bd_coordinator_options *options);
void bd_coordinator_destroy (struct bd_coordinator *coordinator);

/** The mesh that messages go through; not used before it is set. */
void bd_coordinator_connect (struct bd_coordinator *coordinator,
                             struct bd_mesh *mesh);

/** Decides on a request of the instance at IP, and enters it. */
struct bd_placing_answer
bd_coordinator_decide (struct bd_coordinator *coordinator, uint32_t ip,
                       const struct bd_placing_ask *ask, int64_t now_ms);

/** A request was placed without asking. */
void bd_coordinator_placed (struct bd_coordinator *coordinator, uint32_t ip,
                            const struct bd_placing_placed *placed,
                            int64_t now_ms);

/** What became of a request. */
void bd_coordinator_report (struct bd_coordinator *coordinator, uint32_t ip,
                            const struct bd_placing_report *report,
                            int64_t now_ms);

/** Acts on a message other than an answer; answers questions. */
void bd_coordinator_take (struct bd_coordinator *coordinator, uint32_t ip,
                          const struct bd_placing_message *message,
                          int64_t now_ms);

/**
 * The instance at IP is gone: what it had in flight has ended with its
 * process, or, when it is only SILENT, may go on.
 */
void bd_coordinator_forget (struct bd_coordinator *coordinator, uint32_t ip,
                            bool silent);

/** The key by which instances are ranked for a shard of a service. */
uint64_t bd_coordinator_key (struct bd_chunk service, uint32_t shard);

/** Ends what is overdue; tells those that come next.  Call every 100 ms or so.
 */
void bd_coordinator_tick (struct bd_coordinator *coordinator, int64_t now_ms);

#endif
