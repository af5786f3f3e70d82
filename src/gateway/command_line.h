/**
 * @file command_line.h
 * The command line of the gateway daemon.
 */
#ifndef BD_COMMAND_LINE_H
#define BD_COMMAND_LINE_H

#include "common/event.h"

#include <stdbool.h>
#include <stdint.h>

struct bd_command_line
{
  const char *settings_path;      /**< Settings file. */
  enum bd_severity log_threshold; /**< Least severity that is written. */
  uint32_t log_lines_per_s; /**< Most low-severity lines a second; 0: any. */
  bool check_only;          /**< Read the settings and end. */
};

enum bd_command_line_result
{
  BD_COMMAND_LINE_RUN = 0,
  BD_COMMAND_LINE_DONE, /**< Help or the version was printed. */
  BD_COMMAND_LINE_BAD   /**< Errors were printed to stderr. */
};

/**
 * Reads the command line.  Without an option for it, the settings file is
 * named by the environment variable VARIABLE.  The texts of LINE belong to
 * ARGV or the environment.
 */
enum bd_command_line_result
bd_command_line_read (int argc, char **argv, const char *variable,
                      struct bd_command_line *line);

#endif
