/**
 * @file support_platform.h
 * A platform for one gateway process: a store with a configuration and one
 * runner, and that runner, on loopback and in a thread of their own.
 */
#ifndef SUPPORT_PLATFORM_H
#define SUPPORT_PLATFORM_H

#include "support_port.h"

/** The runner does not answer requests to this path. */
#define SUPPORT_PLATFORM_SILENT_PATH "/silent"

/** Starts the store and the runner.  LIMITS is the configuration's object
    "limits".  They run until the test program ends. */
void support_platform_start (const char *limits);

/** The store's address, "127.0.0.1:PORT". */
const char *support_platform_store (void);

#endif
