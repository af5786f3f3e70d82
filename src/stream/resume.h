/**
 * @file resume.h
 * The text that a stream has delivered so far, and the request that lets
 * another engine go on after it.
 */
#ifndef BD_RESUME_H
#define BD_RESUME_H

#include "common/string.h"

/** Appends the text of one OpenAI-style event (its JSON) to TEXT. */
void bd_resume_collect (struct bd_chunk json, struct bd_buffer *text);

/**
 * Writes BODY with "continue_from" set to TEXT.  Returns BD_OK,
 * BD_ERR_INVALID when BODY is no JSON object, or BD_ERR_NOMEM.
 */
int bd_resume_body (struct bd_chunk body, struct bd_chunk text,
                    struct bd_buffer *out);

#endif
