/**
 * @file harmless_parts.h
 * Remembers which parts of prompts were seen to be harmless: a complete answer
 * to a request with them was received.
 */
#ifndef BD_HARMLESS_PARTS_H
#define BD_HARMLESS_PARTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Most parts that are remembered.  Beyond, those that were not seen for the
    longest time are forgotten, and count as unknown. */
#define BD_HARMLESS_PARTS_MAX 32768

/** A part that was seen to be harmless. */
struct bd_harmless_part
{
  uint64_t part;
  int64_t at_ms;      /**< When it was seen last. */
  int64_t doubted_ms; /**< It may have turned bad then. */
};

struct bd_harmless_parts;

/** Returns NULL when out of memory. */
struct bd_harmless_parts *bd_harmless_parts_create (void);
void bd_harmless_parts_destroy (struct bd_harmless_parts *parts);

/** Records that PART was seen to be harmless at AT_MS; without memory it stays
    unknown. */
void bd_harmless_parts_record (struct bd_harmless_parts *parts, uint64_t part,
                               int64_t at_ms);

/** Whether PART has not been harmless since it was doubted. */
bool bd_harmless_part_is_doubtful (const struct bd_harmless_part *part);

/** Returns what is known of PART, or NULL if it was not seen to be harmless.
 */
struct bd_harmless_part *
bd_harmless_parts_find (const struct bd_harmless_parts *parts, uint64_t part);

#endif
