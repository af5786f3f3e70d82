/**
 * @file coordination.h
 * Messages between an instance and the coordinator about the placement of
 * requests: query, reply, reports on the request, prefix locations for standby
 * coordinators, and the origins of streams.
 */
#ifndef BD_COORDINATION_H
#define BD_COORDINATION_H

#include "balance/outlier.h"
#include "balance/overload.h"
#include "balance/prefix_map.h"
#include "gateway/limit_notice.h"
#include "gateway/origin_notice.h"

/**
 * First value of the datagrams of this module; gossip datagrams have lower
 * ones.
 */
#define BD_COORDINATION_FORMAT 24
/** Most runners that a query excludes. */
#define BD_COORDINATION_EXCLUDED_MAX 12
/** Most reports, prefix locations and notices in a message. */
#define BD_COORDINATION_REPORTS_MAX 100
#define BD_COORDINATION_PREFIXES_MAX 50
#define BD_COORDINATION_NOTICES_MAX 40
#define BD_COORDINATION_ORIGINS_MAX 40

enum bd_coordination_kind
{
  BD_COORDINATION_QUERY = 0,
  BD_COORDINATION_REPLY,
  BD_COORDINATION_REPORTS,
  BD_COORDINATION_NOTICES,
  BD_COORDINATION_PREFIXES,
  BD_COORDINATION_LIMIT,
  BD_COORDINATION_ORIGINS,
  BD_COORDINATION_KIND_COUNT
};

/** Asks which runner a request goes to. */
struct bd_coordination_query
{
  /** Number of the request, unique at the instance that asks. */
  uint32_t request_number;
  struct bd_chunk service;
  struct bd_chunk zone;
  uint32_t shard; /**< Number of the request's shard among the SHARDS of the
                     service's runners. */
  uint32_t shard_count;
  uint64_t prefix_hash; /**< Hash of the prompt's shared prefix; 0: none. */
  uint64_t prefix_tokens;
  uint64_t unshared_tokens;
  uint32_t fetch_us_per_k; /**< Microseconds that a runner needs to fetch 1,000
                              tokens from another one; 0: it cannot fetch. */
  struct bd_overload_request overload;
  bool is_retry; /**< The request has been sent to a runner before. */
  /** Hash of the software version that the runner must have;
      BD_SOFTWARE_ANY: any. */
  uint64_t software;
  /** The caller continues a stream, so SOFTWARE has to be found out. */
  bool continues;
  uint64_t stream;   /**< Number of that stream; 0: not named. */
  uint64_t own_part; /**< Part of the prompt that no other request has; 0:
                        none. */
  int64_t waited_ms; /**< How long SOFTWARE has been asked for. */
  uint32_t excluded[BD_COORDINATION_EXCLUDED_MAX]; /**< Low 32 bits of runners'
                                                      hashes. */
  size_t excluded_count;
};

enum bd_coordination_verdict
{
  BD_COORDINATION_PLACED = 0, /**< The request goes to the target. */
  BD_COORDINATION_REFUSED,    /**< The expected wait is over the limit. */
  BD_COORDINATION_NO_RUNNER,
  BD_COORDINATION_ORIGIN_PENDING, /**< Which version began the stream is being
                                     found out: ask again. */
  BD_COORDINATION_ORIGIN_UNKNOWN  /**< Nothing shows which version it was. */
};

struct bd_coordination_reply
{
  uint32_t request_number;
  enum bd_coordination_verdict verdict;
  uint32_t target; /**< Low 32 bits of the runner's hash. */
  uint32_t source; /**< Low 32 bits of the hash of the runner to fetch the
                      prefix from; 0: none. */
  uint32_t selection_reason; /**< Value of enum bd_selection_reason. */
  uint64_t prefill_tokens;
  uint64_t ahead_tokens;
  int64_t wait_ms;
  int64_t cost_ms;
  int64_t max_wait_ms;
  /** Time until the caller should retry; 0 when unknown. */
  int64_t retry_after_ms;
  /** Rate limit of the target under which the request was placed, in
      thousandths of a request per second; 0: the coordinator knows of none. */
  uint32_t limit_rate;
  /** Hash of the software version that the runner had to have;
      BD_SOFTWARE_ANY: any. */
  uint64_t software;
  /** The version is only known from what the target lists, which the target
      has to confirm by taking the request. */
  bool unconfirmed;
};

/** What an attempt showed about its runner. */
struct bd_attempt_outcome
{
  bool has_result; /**< RESULT is set; an attempt may end without showing
                      anything. */
  enum bd_outlier_result result;
  int64_t pause_ms; /**< How long the runner asked to get no requests; 0: it
                       did not ask. */
};

/** Progress of a request at its runner. */
struct bd_coordination_report
{
  uint32_t request_number;
  bool attempt_ended; /**< The attempt has ended; false: the prompt has been
                         read. */
  struct bd_attempt_outcome outcome;
};

/** A request that was placed without this coordinator. */
struct bd_coordination_notice
{
  uint32_t request_number;
  uint32_t target; /**< Low 32 bits of the runner's hash. */
  uint64_t prefix_hash;
  uint64_t prefill_tokens;
  bool is_short;
  bool prefill_done; /**< The prompt has been read. */
  int priority;
  int64_t time_left_ms;
};

/** Message of any kind. */
struct bd_coordination_message
{
  enum bd_coordination_kind kind;
  union
  {
    struct bd_coordination_query query;
    struct bd_coordination_reply reply;
    struct
    {
      struct bd_coordination_notice items[BD_COORDINATION_NOTICES_MAX];
      size_t count;
    } notices;
    struct
    {
      struct bd_coordination_report items[BD_COORDINATION_REPORTS_MAX];
      size_t count;
    } reports;
    struct
    {
      /** In messages, sent_ms is an age and not a point in time. */
      struct bd_prefix_entry items[BD_COORDINATION_PREFIXES_MAX];
      size_t count;
      /**
       * The sender knows the prefix locations of all runners, and with this
       * message the receiver has them all.
       */
      bool complete;
    } prefixes;
    struct bd_limit_notice limit;
    struct
    {
      struct bd_origin_notice items[BD_COORDINATION_ORIGINS_MAX];
      size_t count;
    } origins;
  };
};

/** Appends MESSAGE to OUT.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_coordination_write (const struct bd_coordination_message *message,
                           struct bd_buffer *out);

/** Whether a datagram is a message of this module, as far as its start tells.
 */
bool bd_coordination_is_message (struct bd_chunk bytes);

/**
 * Parses a message, whose chunks point into BYTES.  Returns BD_OK or
 * BD_ERR_PROTOCOL.
 */
int bd_coordination_read (struct bd_chunk bytes,
                          struct bd_coordination_message *message);

#endif
