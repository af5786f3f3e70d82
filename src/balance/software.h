/**
 * @file software.h
 * Versions of the software that runners of a service run.
 *
 * What two versions write into a stream does not fit together, so a stream may
 * only be continued by a runner of the version that began it.
 */
#ifndef BD_SOFTWARE_H
#define BD_SOFTWARE_H

#include "common/string.h"

/** Bytes for the quoted start of a version in a log line. */
#define BD_SOFTWARE_NAME_BYTES 24

/** A software version.  Zero-initialized, it is unknown. */
struct bd_software
{
  /** Hash of the version's text, by which versions are compared; 0: unknown.
   */
  uint64_t hash;
  char name[BD_SOFTWARE_NAME_BYTES]; /**< For log lines. */
};

/** Returns the version of TEXT, which may be of any length; empty: unknown. */
struct bd_software bd_software_of (struct bd_chunk text);

/** Returns the name of SOFTWARE for a log line. */
const char *bd_software_name (const struct bd_software *software);

#endif
