/**
 * @file entry.h
 * The entry daemon (front end): HTTP threads serve the callers, one control
 * thread dispatches their requests to runners.
 */
#ifndef BD_ENTRY_H
#define BD_ENTRY_H

#include "common/settings.h"

struct bd_entry;

/**
 * Binds the addresses and starts the threads.  On failure, returns NULL
 * and sets *ERROR to BD_ERR_IO, BD_ERR_NOMEM, BD_ERR_INVALID (HTTP address) or
 * BD_ERR_SETTING (token keys, certificate).  SETTINGS must outlive the entry.
 */
struct bd_entry *bd_entry_create (const struct bd_settings *settings,
                                  int *error);

/**
 * Serves until *STOP is nonzero and either no call is in progress or the drain
 * timeout has passed.  Returns BD_OK.
 */
int bd_entry_run (struct bd_entry *entry, const volatile int *stop);

void bd_entry_destroy (struct bd_entry *entry);

#endif
