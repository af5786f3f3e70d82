/**
 * @file support_memory.h
 * Makes an allocation fail.  For programs that are linked so that their calls
 * of malloc (), calloc () and realloc () come here (see CMakeLists.txt); those
 * of shared libraries do not.
 */
#ifndef BD_SUPPORT_MEMORY_H
#define BD_SUPPORT_MEMORY_H

#include <stdbool.h>

/** The allocation NUMBER of this thread from now on fails, counted from 1. */
void support_fail_allocation (int number);

/** Returns whether it has failed; if not, none will. */
bool support_allocation_failed (void);

#endif
