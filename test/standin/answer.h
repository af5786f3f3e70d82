/**
 * @file answer.h
 * The deterministic answer of the engine stand-in to a prompt, shared with
 * the programs that check answers.  A token is one word and a space.
 */
#ifndef STANDIN_ANSWER_H
#define STANDIN_ANSWER_H

#include "common/string.h"

#include <jansson.h>
#include <math.h>
#include <string.h>

#define ANSWER_MEDIAN_TOKENS 80.0
#define ANSWER_SIGMA 0.7
#define ANSWER_MAX_TOKENS 1000
#define ANSWER_WORDS 32

/** Scrambles the bits of X (the finalizer of SplitMix64). */
static inline uint64_t
answer_mix (uint64_t x)
{
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

/** Maps HASH to a number in (0, 1). */
static inline double
answer_unit (uint64_t hash)
{
  return ((double)(hash >> 11) + 0.5) / 9007199254740992.0;
}

/** Returns token INDEX of the answer to the prompt with HASH. */
static inline const char *
answer_token (uint64_t hash, int index)
{
  static const char *const words[ANSWER_WORDS]
      = { "loin ",  "rib ",   "brine ", "resin ", "salt ",   "valve ",
          "pump ",  "plan ",  "cut ",   "order ", "tank ",   "hook ",
          "scale ", "van ",   "route ", "shank ", "flank ",  "round ",
          "chuck ", "belly ", "meter ", "hose ",  "filter ", "flow ",
          "hard ",  "soft ",  "north ", "south ", "early ",  "late ",
          "full ",  "half " };
  uint64_t h = answer_mix (hash ^ ((uint64_t)index + 1) * 0x100000001b3ULL);

  return words[h % ANSWER_WORDS];
}

/**
 * Returns the length of the complete answer in tokens, from a log-normal
 * distribution; MAX_TOKENS 0 sets no limit.
 */
static inline int
answer_length (uint64_t hash, int max_tokens)
{
  double a = answer_unit (answer_mix (hash ^ 1));
  double b = answer_unit (answer_mix (hash ^ 2));
  double z = sqrt (-2.0 * log (a)) * cos (6.283185307179586 * b);
  double length = ANSWER_MEDIAN_TOKENS * exp (ANSWER_SIGMA * z);
  int tokens = length < ANSWER_MAX_TOKENS ? (int)length : ANSWER_MAX_TOKENS;

  if (tokens < 1)
    tokens = 1;
  return max_tokens > 0 && max_tokens < tokens ? max_tokens : tokens;
}

/** Appends the tokens FROM to TO - 1 of the answer. */
static inline void
answer_append (struct bd_buffer *text, uint64_t hash, int from, int to)
{
  for (int i = from; i < to; i++)
    bd_buffer_append (text, bd_chunk_of (answer_token (hash, i)));
}

/**
 * Returns the number of tokens in TEXT when TEXT is a prefix of the answer and
 * ends between tokens; -1 otherwise.
 */
static inline int
answer_match (uint64_t hash, struct bd_chunk text)
{
  size_t at = 0;
  int index = 0;

  while (at < text.length)
    {
      const char *word = answer_token (hash, index);
      size_t n = strlen (word);

      if (text.length - at < n || memcmp (text.data + at, word, n) != 0)
        return -1;
      at += n;
      index++;
    }
  return index;
}

/** Appends the prompt of REQUEST: "prompt", or a "role: content" per message.
 */
static inline void
answer_prompt (struct bd_buffer *prompt, const json_t *request)
{
  const char *plain = json_string_value (json_object_get (request, "prompt"));
  const json_t *messages = json_object_get (request, "messages");

  if (plain)
    bd_buffer_append (prompt, bd_chunk_of (plain));
  for (size_t i = 0; i < json_array_size (messages); i++)
    {
      const json_t *m = json_array_get (messages, i);
      const char *role = json_string_value (json_object_get (m, "role"));
      const char *text = json_string_value (json_object_get (m, "content"));

      bd_buffer_append (prompt, bd_chunk_of (role));
      bd_buffer_append (prompt, BD_CHUNK (": "));
      bd_buffer_append (prompt, bd_chunk_of (text));
      bd_buffer_append (prompt, BD_CHUNK ("\n"));
    }
}

#endif
