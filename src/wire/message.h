/**
 * @file message.h
 * Messages between our processes.  One flat structure carries the fields of
 * every type; only fields that are not zero travel, as an mpack map from
 * small numbers to values.  Unknown fields are skipped and unknown types are
 * refused with BD_ERR_PROTOCOL, so that versions can be mixed.
 */
#ifndef BD_MESSAGE_H
#define BD_MESSAGE_H

#include "common/string.h"

/** Raised when an older version could misread a message. */
#define BD_WIRE_VERSION 1

/** Largest message taken in, in bytes. */
#define BD_MESSAGE_MAX_BYTES ((size_t)4 * 1024 * 1024)

/* Number, name, sent by, counted as control (1) or work (0). */
#define BD_MESSAGE_TABLE(X)                                                   \
  X (1, HEARTBEAT, "both", 1)                                                 \
  X (2, RESERVE, "entry", 0)                                                  \
  X (3, DECLINE, "entry", 0)                                                  \
  X (4, GRANT, "sidecar", 0)                                                  \
  X (5, REFUSE, "sidecar", 0)                                                 \
  X (6, RUN, "entry", 0)                                                      \
  X (7, HEAD, "sidecar", 0)                                                   \
  X (8, CHUNK, "sidecar", 0)                                                  \
  X (9, END, "sidecar", 0)                                                    \
  X (10, FAIL, "sidecar", 0)                                                  \
  X (11, RECEIPT, "entry", 0)                                                 \
  X (12, CANCEL, "entry", 0)                                                  \
  X (13, CONFIG_GET, "both", 1)                                               \
  X (14, CONFIG, "both", 1)                                                   \
  X (15, GOSSIP, "entry", 1)                                                  \
  X (16, STRIKES, "sidecar", 1)

enum bd_message_type
{
#define BD_MESSAGE_ENUM(number, name, sender, control)                        \
  BD_MESSAGE_##name = (number),
  BD_MESSAGE_TABLE (BD_MESSAGE_ENUM)
#undef BD_MESSAGE_ENUM
};

/** Bits of the field flags. */
enum bd_message_flag
{
  BD_FLAG_IDEMPOTENT = 1,   /**< May run more than once. */
  BD_FLAG_STREAM = 2,       /**< The caller wants a stream. */
  BD_FLAG_SERVICE = 4,      /**< A plain service, no model engine. */
  BD_FLAG_REPLAY = 8,       /**< END: a recorded answer, not a run. */
  BD_FLAG_LEAVING = 16,     /**< HEARTBEAT: takes no new work. */
  BD_FLAG_ENGINE_DOWN = 32, /**< HEARTBEAT: the runner does not answer. */
  BD_FLAG_ALONE = 64,       /**< RESERVE: runs with nothing beside it. */
  BD_FLAG_REPLY = 128,      /**< HEARTBEAT: answers one. */
  BD_FLAG_DIRECT = 256 /**< RESERVE: has the body, runs at once when a slot
                          is free; GRANT: it runs. */
};

/** One message.  Chunks in a decoded message point into its frame. */
struct bd_message
{
  uint32_t type;
  uint32_t flags;
  struct bd_id request;
  uint32_t attempt;
  uint64_t sequence;           /**< CHUNK: index; END: count. */
  uint64_t incarnation;        /**< The sender's. */
  uint64_t target_incarnation; /**< The receiver's, as known; 0: any. */
  uint32_t tier;
  uint32_t tokens;         /**< Expected or used. */
  uint32_t bytes;          /**< RESERVE: length of the body. */
  int64_t budget_ms;       /**< Time left, to be independent of clocks. */
  int64_t queue_budget_ms; /**< Longest wait for a grant. */
  uint32_t min_share_permille;
  uint64_t prefix_hash;
  uint64_t fingerprint;
  struct bd_id key; /**< Hash of workspace and key. */
  uint32_t key_origin;
  uint64_t key_incarnation;
  int64_t key_wall_ms;
  int64_t key_expires_ms;
  int64_t retry_window_ms;
  struct bd_chunk workspace;
  struct bd_chunk class_name;
  struct bd_chunk method;
  struct bd_chunk path;
  struct bd_chunk content_type;
  struct bd_chunk name; /**< CONFIG: document; REFUSE: successor. */
  struct bd_chunk body;
  int32_t status; /**< HTTP status. */
  int32_t error;  /**< enum bd_error. */
  uint32_t ran;   /**< enum bd_ran. */
  int64_t retry_after_ms;
  uint64_t revision; /**< Manifest in force at the sender. */
  uint64_t digest;   /**< Of the documents in force. */
  uint32_t queued;
  uint32_t queued_above;
  uint32_t running;
  uint32_t slots;
  uint32_t token_time_us;
  struct bd_chunk zone;
  struct bd_chunk address;
  struct bd_chunk pool;
  struct bd_chunk key_text; /**< RESERVE: the caller's own words. */
  int64_t sent_ms;          /**< HEARTBEAT, GOSSIP: the sender's clock. */
  int64_t echo_ms;          /**< The receiver's clock, as last heard of it. */
  int64_t confirm_age_ms;   /**< Since the service confirmed what is in force,
                                 plus 1; 0: it never did. */
};

/** Appends the message to BUFFER.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_message_encode (const struct bd_message *message,
                       struct bd_buffer *buffer);

/**
 * Reads a frame.  Returns BD_OK, BD_ERR_TOO_LARGE or BD_ERR_PROTOCOL; fields
 * that are absent are zero.
 */
int bd_message_decode (struct bd_chunk frame, struct bd_message *message);

/** Returns the type's name, or "unknown". */
const char *bd_message_name (uint32_t type);

/** True when the type counts as control traffic. */
bool bd_message_is_control (uint32_t type);

#endif
