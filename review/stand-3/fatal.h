/**
 * @file fatal.h
 * What the cases about requests that crash runners share: runners that end
 * with the first event of a fatal request and are back some seconds later,
 * sound callers, and the rule BUDGET.
 */
#ifndef FATAL_H
#define FATAL_H

#include "stand.h"

/** Path of sound requests, and the first part of their prompts. */
#define FATAL_SOUND_PATH "/carcass/2f"
#define FATAL_SOUND_PART "5c1e07a2:210"

/** A case. */
struct fatal_case
{
  const char *mark;    /**< In the head of each fatal request. */
  int crash_count;     /**< Crash from which on the rule counts. */
  void (*send) (void); /**< Sends the fatal requests. */
};

/**
 * Sends a request at gateway HOST and reads its answer.  PARTS are those of
 * its prompt, as in the field.
 */
void fatal_ask (int host, const char *path, const char *id, const char *parts,
                const char *body);

/** Plays CASE.  Returns the exit status. */
int fatal_play (const char *folder, const struct fatal_case *played);

#endif
