/**
 * @file support_limiter.h
 * Entries with a limiter each, which talk over a lossy, delayed link in
 * virtual time, and a central limiter that decides on the same requests.
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
/** An entry with nothing to tell reaches every peer in this time. */
#define PEER_PERIOD_MS 1500
#define WORKSPACE 77
#define DEMANDS_MAX 4
/** Most that the shares sum to; see limiter.h. */
#define SHARES_MAX (1.0 + BD_SHARE_EXCESS)

/** A message on its way. */
struct message
{
  int64_t arrives_ms;
  uint64_t from;
  int to;
  size_t count;
  struct bd_demand demands[DEMANDS_MAX];
};

/** A request that runs at an entry. */
struct running
{
  int64_t ends_ms;
  int entry;
  uint64_t life; /**< Of the entry's process. */
  uint32_t expected;
  uint32_t used;
};

struct entry
{
  struct bd_limiter *limiter; /**< NULL: dead. */
  uint64_t name;
  uint64_t life;
  double offered_per_s;
  int side; /**< Messages pass between equal sides only. */
  uint64_t admitted;
};

/** Entries that talk over a lossy, delayed link, in virtual time. */
struct limiters
{
  struct entry entries[ENTRIES_MAX];
  int count;
  uint32_t named; /**< Entries in the published instance list. */
  struct bd_limits limits;
  uint64_t random;
  int64_t now_ms;
  uint32_t loss_permille;
  uint32_t delay_max_ms;
  uint32_t tokens; /**< Expected tokens of a request. */
  uint32_t duration_ms;
  uint64_t lives;
  GArray *messages;
  GArray *running;
  struct naive_limiter central; /**< Decides on the same requests. */
  struct naive_limiter audit;   /**< The stated bound: never overdrawn. */
  uint64_t central_admitted;
  uint64_t admitted;
  double share_max;
  double share_sum;
};

/** Starts COUNT entries. */
void limiters_init (struct limiters *f, uint64_t seed, int count,
                    const struct bd_limits *limits);
void limiters_clear (struct limiters *f);

/** Starts or restarts the process of entry I; NEW gives it a new name. */
void limiters_start (struct limiters *f, int i, bool new);
void limiters_stop (struct limiters *f, int i);

/** Publishes that there are NAMED entries. */
void limiters_name (struct limiters *f, uint32_t named);

/** Offers PER_S requests a second at each entry. */
void limiters_offer (struct limiters *f, double per_s);

/** Goes on, checking each admission against the stated bound. */
void limiters_run (struct limiters *f, int64_t duration_ms);

/** Runs and returns what was admitted as a part of what central admitted. */
double limiters_against_central (struct limiters *f, int64_t duration_ms);

#endif
