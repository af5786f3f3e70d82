/**
 * @file stand.h
 * Stand-ins for the review's scripts: the platform's store, runners and
 * callers, as threads of one process, which starts the gateways as processes
 * of their own.
 */
#ifndef STAND_H
#define STAND_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define STAND_TEXT_BYTES 256
#define STAND_ID_BYTES 64
#define STAND_GATEWAYS_MAX 8
#define STAND_HELD_BYTES 8192
#define STAND_CONNECTIONS_MAX 256

/** Exit codes of the scripts. */
#define STAND_HELD 0
#define STAND_BROKEN 1
#define STAND_NOT_RUN 2

/** Bounds of the site cutline-addis, in milliseconds. */
#define STAND_DRAIN_MS 2000
#define STAND_STABLE_MS 3000
#define STAND_HEARTBEAT_MS 1200
#define STAND_GRACE_S 8

/** Returns the milliseconds since the start of the program. */
int64_t stand_now_ms (void);

/** Pauses the thread. */
void stand_sleep_ms (int64_t ms);

/** Opens the record; all that is sent, answered and run is written to it. */
void stand_record_open (const char *path);
void stand_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/** Ends the program with STAND_NOT_RUN. */
void stand_give_up (const char *reason) __attribute__ ((noreturn));

/** Starts a detached thread. */
void stand_thread (void *(*run) (void *context), void *context);

/** Listens at IP on a free port, or on PORT; returns the socket. */
int stand_listen (const char *ip, int *port);

/** The platform's store, at an address of its own for each gateway. */
void stand_store_start (void);
/** Writes KEY; returns when the write is accepted. */
void stand_store_put (const char *key, const char *value);
void stand_store_delete (const char *key);
/**
 * From now on cuts one of a gateway's waiting watches in each interval, after
 * it has waited for WAIT_MS; 0: none any more.
 */
void stand_store_cut_watches (int64_t interval_ms, int64_t wait_ms);
/** Returns the number of watches that were cut so far. */
unsigned stand_store_cut_count (void);

/** A request as a runner received it. */
struct stand_request
{
  char method[STAND_ID_BYTES];
  char path[STAND_TEXT_BYTES];
  char id[STAND_ID_BYTES];
  char instance[STAND_ID_BYTES];
  char last_event_id[STAND_ID_BYTES];
  char prefix[STAND_TEXT_BYTES];
};

struct stand_runner;

/**
 * Serves REQUEST on the socket FD.  Returns whether the connection stays open.
 */
typedef bool (*stand_serve) (struct stand_runner *runner, int fd,
                             const struct stand_request *request);

struct stand_runner
{
  char id[STAND_ID_BYTES];
  const char *service;
  const char *zone;
  const char *version; /**< Of its software. */
  int slots;
  int port;
  int64_t born_ms;
  stand_serve serve;
  volatile bool published; /**< Its entry is written every heartbeat. */
  volatile bool ended;     /**< The process has exited. */
  unsigned sequence;
  char held[STAND_HELD_BYTES]; /**< Parts of prompts in its memory. */
  size_t held_length;
  int listener;
  int connections[STAND_CONNECTIONS_MAX]; /**< Sockets; 0: free. */
};

/** Starts RUNNER and writes its entry. */
void stand_runner_start (struct stand_runner *runner);
/**
 * Ends the runner's process: it takes no connection any more, all of its
 * connections end, and its entry expires after three heartbeats.
 */
void stand_runner_crash (struct stand_runner *runner);
/** Takes the runner's entry out of the store. */
void stand_runner_remove (struct stand_runner *runner);

/** Adds the last part of the prompt of REQUEST to the runner's memory. */
void stand_runner_hold (struct stand_runner *runner,
                        const struct stand_request *request);

/** Writes all of DATA; returns false when the peer has closed. */
bool stand_write (int fd, const void *data, size_t length);

/** Sends a complete signed answer to REQUEST. */
bool stand_answer (int fd, const struct stand_request *request, int status,
                   const char *fields, const char *body, size_t length);

/** A gateway process. */
struct stand_gateway
{
  char ip[STAND_ID_BYTES];
  int callers_port;
  int readiness_port;
  volatile pid_t pid;     /**< 0: none runs. */
  volatile unsigned ends; /**< Times that it ended by itself. */
  volatile int64_t started_ms;
  volatile bool stopping; /**< Was told to end. */
  volatile bool killed;   /**< Was killed, and is started again. */
};

/**
 * Starts COUNT gateways, each of which is started again after it has ended,
 * and waits until all are ready.  Logs are written to FOLDER.
 */
void stand_gateways_start (struct stand_gateway *gateways, size_t count,
                           const char *folder);
/** Kills all gateways at once; they are started again. */
void stand_gateways_kill (void);
/** Ends all gateways. */
void stand_gateways_end (void);
/** Returns whether the gateway answers 200 to the balancer. */
bool stand_gateway_ready (const struct stand_gateway *gateway);
/** Returns whether it answers the balancer with 200 within LIMIT_MS. */
bool stand_gateway_answers (const struct stand_gateway *gateway,
                            int64_t limit_ms);

/** What a caller got. */
struct stand_result
{
  int status;     /**< 0: the channel ended without an answer. */
  bool complete;  /**< The answer is complete. */
  size_t length;  /**< Bytes of its body. */
  bool timed_out; /**< Nothing came for the time limit. */
  bool refused;   /**< The connection could not be opened. */
  int64_t ms;
};

/** Handles a piece of an answer's body. */
typedef void (*stand_body) (void *context, const char *data, size_t length);

/** A caller's connection, which is kept between calls. */
struct stand_caller
{
  const struct stand_gateway *gateway;
  int fd;             /**< -1: closed. */
  stand_body on_body; /**< NULL: the body is not looked at. */
  void *context;      /**< Of on_body. */
};

/** Sends a request with the identifier ID and waits for its answer. */
struct stand_result stand_call (struct stand_caller *caller,
                                const char *method, const char *path,
                                const char *id, const char *fields,
                                int64_t limit_ms);

#endif
