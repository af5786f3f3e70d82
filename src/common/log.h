/**
 * @file log.h
 * Syslog-style lines on standard error: one event, then key=value pairs.
 */
#ifndef BD_LOG_H
#define BD_LOG_H

#include "common/event.h"

#include <stdbool.h>

/** Sets the name that stands in each line and the least severity shown. */
void bd_log_open (const char *instance, enum bd_severity least);

/**
 * Writes one line: timestamp, host part, program, event number and name,
 * then FORMAT's key=value text.  Values with spaces must be quoted by "%s"
 * of bd_log_quote ().  Any thread; a line is written by one call.
 */
void bd_log (enum bd_event event, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** True when the event's severity would be shown. */
bool bd_log_shows (enum bd_event event);

#endif
