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

/** Instead of a version's hash: any version. */
#define BD_SOFTWARE_ANY 0
/** Hash of the version that runners without one have: they are alike. */
#define BD_SOFTWARE_UNNAMED 1
/** Instead of a version's hash: it is not certain, so no runner has it. */
#define BD_SOFTWARE_UNCERTAIN 2

/** A software version.  Zero-initialized, it stands for any. */
struct bd_software
{
  /** Hash of the version's text, by which versions are compared. */
  uint64_t hash;
  char name[BD_SOFTWARE_NAME_BYTES]; /**< For log lines. */
};

/**
 * Returns the version of TEXT, which may be of any length; empty: the version
 * of runners without one.
 */
struct bd_software bd_software_of (struct bd_chunk text);

/**
 * Sets SOFTWARE to what a runner's entry lists; zero-initialized, the entry
 * names none.  Returns whether it was another version before.
 */
bool bd_software_set (struct bd_software *software,
                      const struct bd_software *listed);

/** Returns the name of SOFTWARE for a log line. */
const char *bd_software_name (const struct bd_software *software);

#endif
