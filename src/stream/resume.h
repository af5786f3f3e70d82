/**
 * @file resume.h
 * Resuming a streamed completion at another engine: collects the text that
 * was delivered and writes the request that continues after it.
 */
#ifndef BD_RESUME_H
#define BD_RESUME_H

#include "common/string.h"

/** Appends the text of the first choice of one OpenAI-style event (JSON) to
 * TEXT.  Does nothing when JSON has no text. */
void bd_resume_append_text (struct bd_chunk json, struct bd_buffer *text);

/**
 * Writes BODY with "continue_from" set to TEXT.  Returns BD_OK,
 * BD_ERR_INVALID when BODY is no JSON object, or BD_ERR_NOMEM.
 */
int bd_resume_body (struct bd_chunk body, struct bd_chunk text,
                    struct bd_buffer *out);

#endif
