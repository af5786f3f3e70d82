/**
 * @file ctl.h
 * basildockctl, the command-line client of the daemons' admin ports: options,
 * commands and exit codes.
 */
#ifndef BD_CTL_H
#define BD_CTL_H

#include "common/string.h"

#include <jansson.h>

#define BD_CTL_ADDRESSES_MAX 64
/** Most words of a command line, including the names of files. */
#define BD_CTL_ARGUMENTS_MAX 256

/** Exit codes. */
enum bd_ctl_exit
{
  BD_CTL_OK = 0,
  BD_CTL_FAILED = 1,     /**< The input is invalid, or nothing was found. */
  BD_CTL_USAGE = 2,      /**< The command line is invalid. */
  BD_CTL_UNREACHABLE = 3 /**< At least one daemon did not answer. */
};

/** The parsed command line.  Options that are not given are NULL. */
struct bd_ctl_options
{
  char *addresses[BD_CTL_ADDRESSES_MAX]; /**< "IP:PORT" of admin ports. */
  size_t address_count;
  bool json;                 /**< Print JSON. */
  const char *workspace;     /**< Shows this workspace only. */
  const char *class_name;    /**< Shows this request class only. */
  const char *duration_name; /**< Duration that the histogram shows. */
  int line_limit;            /**< Lines to show at most; 0: all. */
  const char *arguments[BD_CTL_ARGUMENTS_MAX]; /**< Command and operands. */
  size_t argument_count;
};

/** Runs a command and returns the exit code. */
typedef enum bd_ctl_exit (*bd_ctl_command) (
    const struct bd_ctl_options *options);

/** Shows the state of each daemon. */
enum bd_ctl_exit bd_ctl_status (const struct bd_ctl_options *options);

/** Shows the runners that each daemon knows, and their load. */
enum bd_ctl_exit bd_ctl_runners (const struct bd_ctl_options *options);

/** Shows the active contracts of each daemon. */
enum bd_ctl_exit bd_ctl_contract_show (const struct bd_ctl_options *options);

/** Checks the contract document in the file named by argument 2. */
enum bd_ctl_exit bd_ctl_contract_check (const struct bd_ctl_options *options);

/** Draws a histogram of durations for each workspace and class. */
enum bd_ctl_exit bd_ctl_histogram (const struct bd_ctl_options *options);

/** Shows the recent log lines that all daemons hold, in order of time. */
enum bd_ctl_exit bd_ctl_events (const struct bd_ctl_options *options);

/**
 * Shows the log lines of the request named by argument 1, in order of time.
 * Further arguments are log files ("-": standard input) that are read instead
 * of asking the daemons.
 */
enum bd_ctl_exit bd_ctl_trace (const struct bd_ctl_options *options);

/**
 * Explains how the request named by argument 1 ended and which logged values
 * decided it, from log files as for bd_ctl_trace ().
 */
enum bd_ctl_exit bd_ctl_explain (const struct bd_ctl_options *options);

/**
 * Fetches the JSON at PATH from the admin port ADDRESS into *ROOT, which the
 * caller releases.  On an error, prints it to standard error, sets *ROOT to
 * NULL and returns BD_CTL_UNREACHABLE or BD_CTL_FAILED.  With OPTIONAL, status
 * 404 (the daemon's role does not have PATH) is no error: *ROOT is NULL and
 * BD_CTL_OK is returned.
 */
enum bd_ctl_exit bd_ctl_fetch (const char *address, const char *path,
                               bool optional, json_t **root);

/** Returns the worse of two exit codes. */
enum bd_ctl_exit bd_ctl_worst_exit (enum bd_ctl_exit a, enum bd_ctl_exit b);

/** Prints VALUE as JSON in ASCII, then a newline. */
void bd_ctl_print_json (const json_t *value);

/** Prints an object as lines, and an array of objects as a table. */
void bd_ctl_print_value (const json_t *value);

/**
 * Appends TEXT.  Each byte of a character that could control a terminal or
 * change the text direction is written as "\\xNN".  Returns BD_OK or
 * BD_ERR_NOMEM.
 */
int bd_ctl_escape (struct bd_chunk text, struct bd_buffer *buffer);

/** Prints TEXT, escaped by bd_ctl_escape (). */
void bd_ctl_print_text (struct bd_chunk text);

#endif
