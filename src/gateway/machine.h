/**
 * @file machine.h
 * What the machine of an instance has.
 */
#ifndef BD_MACHINE_H
#define BD_MACHINE_H

#include <jansson.h>

struct bd_machine
{
  size_t memory_bytes;    /**< 0: unknown. */
  size_t descriptors_max; /**< 0: unknown. */
};

/** Reads the settings memory_mb and max_fds.  One that is absent, or not a
    positive number, is unknown. */
struct bd_machine bd_machine_read (const json_t *settings);

#endif
