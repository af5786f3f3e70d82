/**
 * @file priority.h
 * Priorities of requests, from 0, the most urgent.
 */
#ifndef BD_PRIORITY_H
#define BD_PRIORITY_H

/** The least urgent priority. */
#define BD_PRIORITY_LOWEST 9
/** Number of priorities. */
#define BD_PRIORITIES (BD_PRIORITY_LOWEST + 1)

#endif
