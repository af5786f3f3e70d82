/**
 * @file priority.h
 * Priorities of requests, from 0, the most urgent.
 */
#ifndef BD_PRIORITY_H
#define BD_PRIORITY_H

/** The least urgent one. */
#define BD_PRIORITY_LEAST 9
/** How many there are. */
#define BD_PRIORITIES (BD_PRIORITY_LEAST + 1)

#endif
