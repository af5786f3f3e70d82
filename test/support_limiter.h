/**
 * @file support_limiter.h
 * Simulates entries with a limiter each, connected by a lossy, delayed link in
 * virtual time, beside a central limiter that decides on the same requests.
 */
#ifndef SUPPORT_LIMITER_H
#define SUPPORT_LIMITER_H

#include "limits/limiter.h"
#include "limits/share.h"
#include "naive_limiter.h"

#include <glib.h>

#define ENTRIES_MAX 12
#define STEP_MS 10
#define TICK_MS 100
#define GOSSIP_MS 250
/** An entry without demands sends to every peer within this time. */
#define PEER_PERIOD_MS 1500
#define WORKSPACE 77
#define DEMANDS_MAX 4
/** Largest sum of the shares; see limiter.h. */
#define SHARES_MAX (1.0 + BD_SHARE_EXCESS)

/** A message in transit. */
struct message
{
  int64_t arrives_ms;
  uint64_t from;
  int to;
  size_t count;
  struct bd_limiter_demand demands[DEMANDS_MAX];
};

/** A request that runs at an entry. */
struct running
{
  int64_t ends_ms;
  int entry;
  uint64_t incarnation; /**< Process of the entry that admitted it. */
  uint32_t expected;
  uint32_t used;
};

struct limiter_instance
{
  struct bd_limiter *limiter; /**< NULL: dead. */
  uint64_t name;
  uint64_t incarnation;
  double offered_per_s;
  int side; /**< Messages pass between entries of equal sides only. */
  uint64_t admitted;
};

/** Entries connected by a lossy, delayed link, in virtual time. */
struct limiters
{
  struct limiter_instance entries[ENTRIES_MAX];
  int count;
  uint32_t published; /**< Entries in the published instance list. */
  struct bd_limits limits;
  uint64_t random;
  int64_t now_ms;
  uint32_t loss_permille;
  uint32_t delay_max_ms;
  uint32_t tokens; /**< Expected tokens of a request. */
  uint32_t duration_ms;
  uint64_t incarnations;
  GArray *messages;
  GArray *running;
  struct naive_limiter central; /**< Decides on the same requests. */
  /** Checks the documented bound; never overdrawn. */
  struct naive_limiter bound;
  uint64_t central_admitted;
  uint64_t admitted;
  double share_max;
  double share_sum;
};

/** Starts COUNT entries. */
void limiters_init (struct limiters *fleet, uint64_t seed, int count,
                    const struct bd_limits *limits);
void limiters_clear (struct limiters *fleet);

/** Starts or restarts the process of entry I; NEW gives it a new name. */
void limiters_start (struct limiters *fleet, int i, bool new);
void limiters_stop (struct limiters *fleet, int i);

/** Publishes that there are PUBLISHED entries. */
void limiters_publish (struct limiters *fleet, uint32_t published);

/** Sets the rate offered at each entry to PER_S requests a second. */
void limiters_set_rate (struct limiters *fleet, double per_s);

/**
 * Advances the time and checks each admission against the documented bound.
 */
void limiters_run (struct limiters *fleet, int64_t duration_ms);

/**
 * Runs, and returns the ratio of the requests admitted by the entries to those
 * admitted by the central limiter.
 */
double limiters_central_ratio (struct limiters *fleet, int64_t duration_ms);

#endif
