/**
 * @file story.h
 * What log lines of several daemons say of one request: its own lines, and
 * those that changed what its daemons believed of its runners, in the order of
 * time; and the input that decided how it ended.
 */
#ifndef BD_STORY_H
#define BD_STORY_H

#include "common/event.h"
#include "common/string.h"

#include <stdbool.h>
#include <stdio.h>

/** Lines about a request's runners and daemons count from this long before its
    first line to as long after its last, in milliseconds. */
#define BD_STORY_AROUND_MS 5000
/** Longest line read, in bytes; longer ones are passed over. */
#define BD_STORY_LINE_MAX_BYTES 4096
/** Most lines that are kept; later ones are counted only. */
#define BD_STORY_LINES_MAX 1000000

struct bd_story;

/** A line, taken apart.  The chunks lie in the line's text. */
struct bd_story_line
{
  struct bd_chunk text;
  struct bd_chunk timestamp;
  struct bd_chunk instance;
  struct bd_chunk event_name; /**< Of the event. */
  struct bd_chunk fields;     /**< From the first key=value on. */
  int event_number;           /**< Of the event. */
  int64_t at_ms;              /**< Since 1970. */
  size_t arrival_index;       /**< Of arrival. */
};

/**
 * Takes TEXT, without a newline, apart; what stands before the time of the
 * line, for instance the name of its file, is passed over.  Returns BD_OK or
 * BD_ERR_INVALID.
 */
int bd_story_parse (struct bd_chunk text, struct bd_story_line *line);

/** The value of KEY, without its quotes; empty: there is none. */
struct bd_chunk bd_story_field (const struct bd_story_line *line,
                                const char *key);

/** Of the request that log lines name REQUEST.  NULL: no memory. */
struct bd_story *bd_story_create (struct bd_chunk request);
void bd_story_destroy (struct bd_story *story);

/** Takes in one line, without its newline.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_story_add (struct bd_story *story, struct bd_chunk text);

/** Takes in all lines of FILE.  Returns BD_OK, BD_ERR_IO or BD_ERR_NOMEM. */
int bd_story_read (struct bd_story *story, FILE *file);

/**
 * Puts the lines in order and leaves out those that do not bear on the
 * request.  Returns the number of lines about the request itself.
 */
size_t bd_story_finish (struct bd_story *story);

/** The lines, after bd_story_finish (). */
const struct bd_story_line *bd_story_lines (const struct bd_story *story,
                                            size_t *count);

/** Whether LINE is about the request itself. */
bool bd_story_is_own (const struct bd_story *story,
                      const struct bd_story_line *line);

/** Whether LINE is of a daemon that had the request. */
bool bd_story_is_near (const struct bd_story *story,
                       const struct bd_story_line *line);

/**
 * Appends how the request ended, the input that decided it and the lines that
 * show it, after bd_story_finish ().  Returns BD_OK, BD_ERR_NOMEM, or
 * BD_ERR_NOT_FOUND without a line of the request.
 */
int bd_story_explain (const struct bd_story *story, struct bd_buffer *out);

#endif
