/**
 * @file sidecar.h
 * The sidecar daemon: one control thread connects entries to the queue and the
 * engine of a runner.
 */
#ifndef BD_SIDECAR_H
#define BD_SIDECAR_H

#include "common/settings.h"

struct bd_sidecar;

/**
 * Binds the addresses and starts the threads.  Returns NULL and sets *ERROR to
 * BD_ERR_IO or BD_ERR_NOMEM on failure.  SETTINGS must outlive the sidecar.
 */
struct bd_sidecar *bd_sidecar_create (const struct bd_settings *settings,
                                      int *error);

/**
 * Serves until *STOP is nonzero and either nothing is in progress or the drain
 * timeout has passed.  Returns BD_OK.
 */
int bd_sidecar_run (struct bd_sidecar *sidecar, const volatile int *stop);

void bd_sidecar_destroy (struct bd_sidecar *sidecar);

#endif
