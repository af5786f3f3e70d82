/**
 * @file sidecar.h
 * The sidecar daemon: one control thread around the runner's decisions.
 */
#ifndef BD_SIDECAR_H
#define BD_SIDECAR_H

#include "common/settings.h"

struct bd_sidecar;

/** Binds and starts the threads.  On failure NULL, *ERROR says why. */
struct bd_sidecar *bd_sidecar_create (const struct bd_settings *settings,
                                      int *error);

/**
 * Serves until STOP becomes nonzero and nothing is in progress any more, or
 * the drain timeout has passed.  Returns BD_OK.
 */
int bd_sidecar_run (struct bd_sidecar *sidecar, const volatile int *stop);

void bd_sidecar_destroy (struct bd_sidecar *sidecar);

#endif
