/**
 * @file message.h
 * Messages between entries and sidecars.  One flat structure has the fields of
 * all message types.  Only fields that are not zero are sent, as a MessagePack
 * map from field numbers to values.  A receiver skips unknown fields and
 * rejects unknown types with BD_ERR_PROTOCOL, so that daemons of different
 * versions can run together.
 */
#ifndef BD_MESSAGE_H
#define BD_MESSAGE_H

#include "common/string.h"

/** Must be raised when an older version could misinterpret a message. */
#define BD_WIRE_VERSION 1

/** Maximum size of a received message in bytes. */
#define BD_MESSAGE_MAX_BYTES ((size_t)4 * 1024 * 1024)

/* Number, name, sending role, counted as control (1) or work traffic (0). */
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

/** Bits of bd_message.flags. */
enum bd_message_flag
{
  BD_FLAG_IDEMPOTENT = 1,   /**< May run more than once. */
  BD_FLAG_STREAM = 2,       /**< The caller asked for a streamed answer. */
  BD_FLAG_SERVICE = 4,      /**< For a plain service, not a model engine. */
  BD_FLAG_REPLAY = 8,       /**< END: the answer was recorded earlier. */
  BD_FLAG_LEAVING = 16,     /**< HEARTBEAT: the sender takes no new work. */
  BD_FLAG_ENGINE_DOWN = 32, /**< HEARTBEAT: the engine does not respond. */
  BD_FLAG_ALONE = 64,       /**< RESERVE: runs with no other in flight. */
  BD_FLAG_REPLY = 128,      /**< HEARTBEAT: replies to a heartbeat. */
  BD_FLAG_DIRECT = 256 /**< RESERVE: includes the body and runs at once when a
                          slot is free; GRANT: the request is running. */
};

/** A message.  Chunks of a decoded message point into the frame. */
struct bd_message
{
  uint32_t type;
  uint32_t flags;
  struct bd_id request;
  uint32_t attempt;
  uint64_t sequence;    /**< CHUNK: its number; END: chunk count; FAIL: crash
                           number, or 0. */
  uint64_t incarnation; /**< Incarnation of the sender. */
  uint64_t target_incarnation; /**< Receiver's, as expected; 0: any. */
  uint32_t tier;
  uint32_t tokens;         /**< RESERVE: expected tokens; otherwise tokens
                              generated so far. */
  uint32_t bytes;          /**< RESERVE: length of the body. */
  int64_t budget_ms;       /**< Time left until the deadline; relative, because
                              clocks of machines differ. */
  int64_t queue_budget_ms; /**< Maximum time to wait for a grant. */
  uint32_t min_share_permille;
  uint64_t prefix_hash;
  uint64_t fingerprint;
  struct bd_id key;         /**< Hash of workspace and idempotency key. */
  uint32_t key_origin;      /**< enum bd_key_origin. */
  uint64_t key_incarnation; /**< Incarnation of the key owner that an issued
                               key names. */
  int64_t key_wall_ms;      /**< Wall-clock time at which the key was made. */
  int64_t key_expires_ms;   /**< Wall-clock time at which an issued key
                               expires. */
  int64_t retry_window_ms;
  struct bd_chunk workspace;
  struct bd_chunk class_name;
  struct bd_chunk method;
  struct bd_chunk path;
  struct bd_chunk content_type;
  struct bd_chunk name; /**< CONFIG, CONFIG_GET: document's name; REFUSE:
                           reserved for a key's successor, not sent yet. */
  struct bd_chunk body;
  int32_t status; /**< HTTP status. */
  int32_t error;  /**< enum bd_error. */
  uint32_t ran;   /**< enum bd_ran. */
  int64_t retry_after_ms;
  uint64_t revision; /**< Revision of the sender's active manifest. */
  uint64_t digest;   /**< Digest over the sender's active documents. */
  uint32_t queued;
  uint32_t queued_above; /**< Queued requests of tier 0. */
  uint32_t running;
  uint32_t slots;
  uint32_t token_time_us; /**< Moving average of the time between tokens. */
  struct bd_chunk zone;
  struct bd_chunk address;
  struct bd_chunk pool;
  struct bd_chunk key_text; /**< Idempotency key as the caller sent it. */
  int64_t sent_ms;          /**< HEARTBEAT, GOSSIP: the sender's clock. */
  int64_t echo_ms;          /**< Latest SENT_MS received from the receiver. */
  int64_t confirm_age_ms;   /**< 1 plus the time since the configuration
                               service confirmed the active configuration; 0:
                               never confirmed. */
};

/** Appends the encoded message to BUFFER.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_message_encode (const struct bd_message *message,
                       struct bd_buffer *buffer);

/**
 * Decodes a frame; absent fields are zero.  Returns BD_OK, BD_ERR_TOO_LARGE or
 * BD_ERR_PROTOCOL.
 */
int bd_message_decode (struct bd_chunk frame, struct bd_message *message);

/** Returns the name of a message type, or "unknown". */
const char *bd_message_name (uint32_t type);

/** True when the type counts as control traffic. */
bool bd_message_is_control (uint32_t type);

#endif
