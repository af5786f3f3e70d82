/**
 * @file stream_origin.h
 * Remembers which software version began a stream, so that another attempt of
 * its caller goes on at the same version.
 *
 * It is known in two ways.  Instances tell it when a stream begins; that is
 * exact.  And runners list the parts of prompts in their caches: a part that
 * only one request has is held by the runner that read it, also after all
 * instances have ended.  A list does not say which process made it, so a
 * holder has to be confirmed.  Whatever contradicts itself is uncertain, and
 * what does not fit into the tables is forgotten; neither makes a wrong
 * version.
 *
 * A session's requests share their last part.  So that a holder shows the
 * version of a session's newest stream too, requests keep to the version that
 * read their prompt before, as far as that is remembered.
 */
#ifndef BD_STREAM_ORIGIN_H
#define BD_STREAM_ORIGIN_H

#include "balance/software.h"

/** A stream and the software version that began it. */
struct bd_stream_origin
{
  uint64_t stream;    /**< Number of the stream; never 0. */
  uint64_t software;  /**< Hash of the version, or BD_SOFTWARE_UNCERTAIN. */
  int64_t expires_ms; /**< No attempt continues the stream after that. */
};

/** A runner that lists a part of a prompt. */
struct bd_stream_holder
{
  uint64_t software; /**< Hash of its version, or BD_SOFTWARE_UNCERTAIN if
                        runners of several list the part. */
  uint32_t target;   /**< Low 32 bits of the runner's hash. */
  int64_t listed_ms; /**< When it was asked. */
};

struct bd_stream_origins;

/** Returns NULL when out of memory. */
struct bd_stream_origins *bd_stream_origins_create (void);
void bd_stream_origins_destroy (struct bd_stream_origins *origins);

/**
 * Returns the number of the stream that the caller's attempt ATTEMPT_ID began.
 * Attempts of other workspaces have other numbers, whatever their identifiers.
 * 0 if ATTEMPT_ID is empty.
 */
uint64_t bd_stream_number (struct bd_chunk attempt_id,
                           struct bd_chunk workspace);

/** Records the origin of a stream. */
void bd_stream_origins_record (struct bd_stream_origins *origins,
                               const struct bd_stream_origin *origin,
                               int64_t now_ms);

/** Records that HOLDER lists PART, a hash other than 0. */
void bd_stream_origins_record_holder (struct bd_stream_origins *origins,
                                      uint64_t part,
                                      const struct bd_stream_holder *holder);

/**
 * Returns the version that began STREAM, BD_SOFTWARE_UNCERTAIN, or
 * BD_SOFTWARE_ANY if nothing is known of it.
 */
uint64_t bd_stream_origins_find (const struct bd_stream_origins *origins,
                                 uint64_t stream, int64_t now_ms);

/** Returns whether runners listed PART lately, and sets HOLDER to the last. */
bool bd_stream_origins_find_holder (const struct bd_stream_origins *origins,
                                    uint64_t part, int64_t now_ms,
                                    struct bd_stream_holder *holder);

/**
 * Records that a prompt with the last part PART, a hash or 0, was sent to a
 * runner of SOFTWARE.
 */
void bd_stream_origins_record_prompt (struct bd_stream_origins *origins,
                                      uint64_t part, uint64_t software,
                                      int64_t now_ms);

/**
 * Returns the version that the prompt with the last part PART was sent to
 * last, or else one whose runners have listed PART; BD_SOFTWARE_ANY if neither
 * is known.
 */
uint64_t
bd_stream_origins_find_prompt (const struct bd_stream_origins *origins,
                               uint64_t part, int64_t now_ms);

#endif
