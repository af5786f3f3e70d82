/**
 * @file support_gateway.h
 * A forwarder on an event loop, between scripted runners and callers on
 * loopback.  Everything runs in one thread and waits for events.
 */
#ifndef BD_SUPPORT_GATEWAY_H
#define BD_SUPPORT_GATEWAY_H

#include "gateway/forward.h"

#include <glib.h>

#define SUPPORT_RUNNERS_MAX 6
#define SUPPORT_CALLERS_MAX 6

/** What a runner does after sending its bytes. */
enum support_ending
{
  SUPPORT_KEEP = 0, /**< Keeps the connection open. */
  SUPPORT_CLOSE,
  SUPPORT_RESET,
  SUPPORT_CRASH, /**< Resets the connection, and stops listening. */
  SUPPORT_HANG, /**< Keeps open connections without sending anything, and stops
                   listening. */
  SUPPORT_ENDLESS /**< Repeats the text after "@MORE" until writing fails. */
};

/** One step of a runner: it receives a request, sends BYTES, and does what
    ENDING says. */
struct support_step
{
  const char *bytes; /**< "@ID" is replaced by the attempt's identifier. */
  enum support_ending ending;
};

struct support_gateway;

/** A runner that plays one of STEPS per request, and then stays silent. */
struct support_runner
{
  struct support_gateway *gateway;
  char id[16];
  const char *software; /**< Listed software version; NULL: none. */
  uv_tcp_t listener;
  int port;
  const struct support_step *steps;
  int step_count;
  int request_count;    /**< Number of requests received. */
  int connection_count; /**< Number of connections accepted. */
  int closed_count;     /**< Number of connections that the gateway closed. */
  GString *received;    /**< All bytes received, on all connections. */
};

struct support_caller
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  struct support_gateway *gateway;
  GString *out;
  GString *in;
  bool ended;
};

struct support_gateway
{
  uv_loop_t loop;
  struct bd_client *client;
  struct bd_targets *targets;
  struct bd_selector *selector;
  struct bd_retry_quota *retries;
  struct bd_suspects *suspects;
  struct bd_part_breakers *breakers;
  struct bd_stats *stats;
  struct bd_stream_origins *origins;
  struct bd_origin_outbox *origin_outbox;
  struct bd_inventory *inventory;
  struct bd_coordinator *coordinator;
  struct bd_coordinator_client *coordinator_client;
  struct bd_forwarder *forwarder;
  struct bd_server *server;
  struct sockaddr_in address;
  struct bd_routing *routing;
  uint64_t revision; /**< Revision of the list of runners. */
  struct support_runner runners[SUPPORT_RUNNERS_MAX];
  struct support_caller callers[SUPPORT_CALLERS_MAX];
  uv_timer_t time_limit;
  uv_timer_t tick;
  bool timed_out;
};

/**
 * Opens a gateway with routes of host "h": /safe/ (idempotent, 2 attempts),
 * /once/ (non-idempotent), /stream/ and /resume/ (streams, the second
 * resumable), all for service "s".  Key "k" belongs to workspace "w".
 */
void support_gateway_open (struct support_gateway *gateway);
void support_gateway_close (struct support_gateway *gateway);

/** Starts runner I with STEPS, and lists it as ready. */
struct support_runner *
support_gateway_runner (struct support_gateway *gateway, int i,
                        const struct support_step *steps, int count);

/** Removes runner I from the list. */
void support_gateway_unlist (struct support_gateway *gateway, int i);

/** Lists runner I as ready at PORT of loopback. */
void support_gateway_list (struct support_gateway *gateway, int i, int port);

/** Lists runner I at its port, as a process that started at STARTED_MS, a
    wall-clock time; 0: unknown. */
void support_gateway_list_process (struct support_gateway *gateway, int i,
                                   int64_t started_ms);

/** The same, as the first process under its identifier. */
void support_gateway_list_new (struct support_gateway *gateway, int i,
                               int64_t started_ms);

/** Lists runner I with a software version. */
void support_gateway_set_software (struct support_gateway *gateway, int i,
                                   const char *software);

/** Lists runner I at a port where nothing listens. */
void support_gateway_unreachable_runner (struct support_gateway *gateway,
                                         int i);

/** Connects caller I unless it is connected, and sends TEXT. */
struct support_caller *support_caller_send (struct support_gateway *gateway,
                                            int i, const char *text);

/** Closes the caller's connection. */
void support_disconnect (struct support_caller *caller);

/**
 * Runs the loop until something happens.  Fails the test when it takes too
 * long.
 */
void support_run_once (struct support_gateway *gateway);

/**
 * Runs the loop until CALLER has received TEXT; fails if the connection ends
 * before.
 */
void support_await (struct support_caller *caller, const char *text);

/** Runs the loop until CALLER's connection has ended. */
void support_await_end (struct support_caller *caller);

/** Runs the loop until *COUNT is at least WANTED. */
void support_await_count (struct support_gateway *gateway, const int *count,
                          int wanted);

/**
 * Returns the text of a request with attempt ID; METHOD_PATH is like "GET
 * /safe/x".
 */
char *support_request (const char *method_path, const char *id,
                       const char *more_fields, const char *body);

#endif
