/**
 * @file entry.h
 * The entry daemon: HTTP threads for callers, one control thread for the
 * decisions.
 */
#ifndef BD_ENTRY_H
#define BD_ENTRY_H

#include "common/settings.h"

struct bd_entry;

/** Binds and starts the threads.  On failure NULL, *ERROR says why. */
struct bd_entry *bd_entry_create (const struct bd_settings *settings,
                                  int *error);

/**
 * Serves until STOP becomes nonzero and no call is in progress any more, or
 * the drain timeout has passed.  Returns BD_OK.
 */
int bd_entry_run (struct bd_entry *entry, const volatile int *stop);

void bd_entry_destroy (struct bd_entry *entry);

#endif
