/**
 * @file support_fleet.h
 * A few dispatches and runners in virtual time, with a network between them
 * that loses, doubles, delays and cuts, and engines that only count words.
 */
#ifndef SUPPORT_FLEET_H
#define SUPPORT_FLEET_H

#include "dispatch/dispatch.h"
#include "runner/runner.h"

#include <glib.h>

#define FLEET_ENTRIES_MAX 4
#define FLEET_RUNNERS_MAX 8

struct fleet_settings
{
  guint32 seed;
  int entries;
  int runners;
  int slots;
  int drop_permille;
  int double_permille;
  int delay_max_ms; /**< Messages take 1 to this; above 1 they pass. */
  int token_ms;
  enum bd_placement_policy policy;
};

/** What a caller asked and got. */
struct fleet_call
{
  struct bd_id id;
  int entry;
  guint64 content; /**< Decides on the answer. */
  gboolean keyed;
  int key_number;
  GString *text;
  gboolean head;
  gboolean whole;
  gboolean failed;
  gboolean replay;
  gboolean gone; /**< Its caller or its entry went away. */
  int error;
  enum bd_ran ran;
  gint64 submitted_ms;
  gint64 first_ms; /**< Of the first data; 0 when none came. */
  gint64 ended_ms;
  int billed;
};

/** One run at an engine. */
struct fleet_run
{
  struct bd_id request;
  struct bd_id key;
  int runner;
  gboolean ended;
};

struct fleet;

struct fleet *fleet_new (const struct fleet_settings *settings);
void fleet_free (struct fleet *fleet);

gint64 fleet_now (const struct fleet *fleet);

/** Lets virtual time pass. */
void fleet_run (struct fleet *fleet, gint64 ms);

/** A request for CONTENT, not keyed. */
struct fleet_call *fleet_ask (struct fleet *fleet, int entry, guint64 content,
                              int tier);

/** A request that may run once; KEY_NUMBER names its key. */
struct fleet_call *fleet_order (struct fleet *fleet, int entry,
                                guint64 content, int key_number);

/** The caller of CALL goes away: it may end without an answer. */
void fleet_cancel (struct fleet *fleet, struct fleet_call *call);

/** Faults. */
void fleet_crash_runner (struct fleet *fleet, int runner);
void fleet_restart_runner (struct fleet *fleet, int runner);
/** The entry is gone for good, with its callers' connections. */
void fleet_crash_entry (struct fleet *fleet, int entry);
gboolean fleet_entry_alive (const struct fleet *fleet, int entry);
void fleet_pause_runner (struct fleet *fleet, int runner, gint64 ms);
void fleet_pause_entry (struct fleet *fleet, int entry, gint64 ms);
void fleet_crash_engine (struct fleet *fleet, int runner);
void fleet_stall_engine (struct fleet *fleet, int runner, gint64 ms);
void fleet_cut (struct fleet *fleet, int entry, int runner, gboolean cut);
void fleet_leave_runner (struct fleet *fleet, int runner);
/** Requests for CONTENT crash the engine that runs them. */
void fleet_poison (struct fleet *fleet, guint64 content);
/** Passes strikes among the entries from now on. */
void fleet_gossip (struct fleet *fleet);

/** Lets ENTRY admit one request a second. */
void fleet_limit (struct fleet *fleet, int entry);

GPtrArray *fleet_calls (struct fleet *fleet);
GPtrArray *fleet_runs (struct fleet *fleet);
int fleet_engine_crashes (const struct fleet *fleet);
struct bd_runner *fleet_runner (struct fleet *fleet, int runner);

/** The answer that CONTENT has when it is whole. */
char *fleet_answer (guint64 content);

/**
 * Checks what must always hold; asserts with TITLE on a breach: a key runs
 * once, «did not run» is true, a whole answer is the right one, nothing is
 * billed that was not delivered whole, or twice, every call has ended.
 */
void fleet_check (struct fleet *fleet, const char *title);

#endif
