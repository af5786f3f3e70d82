/* Expected tokens of an answer: exponentially weighted mean of each class. */

#include "dispatch/job.h"

#include <stdlib.h>

/* Expected tokens before the first answer of a class. */
#define INITIAL_TOKENS 128
#define SMOOTHING_WEIGHT 8

uint32_t
bd_job_expected_tokens (const struct bd_dispatch *dispatch,
                        uint64_t class_hash, int32_t max_tokens)
{
  uint32_t *learned
      = bd_map_get (dispatch->classes, (struct bd_id){ class_hash, 0 }, 0);
  uint32_t tokens = learned ? *learned / SMOOTHING_WEIGHT : INITIAL_TOKENS;

  if (max_tokens > 0 && tokens > (uint32_t)max_tokens)
    tokens = (uint32_t)max_tokens;
  return tokens > 0 ? tokens : 1;
}

void
bd_job_record_tokens (struct bd_dispatch *dispatch, uint64_t class_hash,
                      uint32_t tokens)
{
  struct bd_id id = { class_hash, 0 };
  uint32_t *learned = bd_map_get (dispatch->classes, id, 0);

  if (tokens == 0)
    return;
  if (learned)
    {
      *learned = *learned - *learned / SMOOTHING_WEIGHT + tokens;
      return;
    }
  learned = malloc (sizeof *learned);
  if (!learned)
    return;
  *learned = tokens * SMOOTHING_WEIGHT;
  if (bd_map_put (dispatch->classes, id, 0, learned) != BD_OK)
    free (learned);
}
