/**
 * @file stand.h
 * Stand-ins for the platform's store, runners and callers on loopback
 * addresses, and the start and end of gateway processes.  Threads and
 * blocking sockets; one listener and one thread for each connection.
 */
#ifndef STAND_H
#define STAND_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define STAND_GATEWAYS 5
#define STAND_ID_BYTES 48
#define STAND_IP_BYTES 20
#define STAND_HEAD_BYTES 16384
#define STAND_CALLERS_PORT 8227
#define STAND_RUNNER_PORT 8228
/** Host numbers of the store and of the first runner; gateways are 1 to 5. */
#define STAND_STORE_HOST 100
#define STAND_RUNNER_HOST 50
/** Figures of the site cutline-addis. */
#define STAND_MEMORY_MB 260
#define STAND_STABLE_MS 3000
#define STAND_HEARTBEAT_MS 1200
#define STAND_HOST "ficu95.example"
#define STAND_KEY "n2ctnfzs989anu6wsjnb"
/** Exit statuses of a case. */
#define STAND_HELD 0
#define STAND_BROKEN 1
#define STAND_NOT_RUN 2

/* Clock, record and addresses. */

/** Prepares the record in FOLDER and a temporary folder for settings. */
void stand_begin (const char *folder);

/** Ends all processes that were started and removes the temporary folder. */
void stand_end (void);

/** Returns whether the case runs with its disruption. */
bool stand_trouble (void);

/** Milliseconds since stand_begin (). */
int64_t stand_now_ms (void);
void stand_sleep_ms (int64_t ms);

/** Writes a line to the record. */
void stand_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

void stand_format_ip (int host, char ip[STAND_IP_BYTES]);

/** Starts a detached thread.  Ends the case when that fails. */
void stand_thread (void *(*run) (void *), void *context);

/* Connections. */

/** A connection with the bytes that were read ahead. */
struct stand_conn
{
  int fd; /**< -1: closed. */
  char *data;
  size_t length;
  size_t capacity;
};

/** Connects to HOST:PORT.  Returns whether that succeeded. */
bool stand_connect (struct stand_conn *conn, int host, int port);
void stand_close (struct stand_conn *conn);

/** Limits how long a read waits for data. */
void stand_set_read_limit (const struct stand_conn *conn, int64_t ms);
bool stand_write (const struct stand_conn *conn, const void *data,
                  size_t length);
bool stand_write_text (const struct stand_conn *conn, const char *text);

/** Reads a head up to its empty line.  Returns false at the end. */
bool stand_read_head (struct stand_conn *conn, char head[STAND_HEAD_BYTES]);

/** Copies the value of the field NAME of HEAD.  Returns whether it is there.
 */
bool stand_field (const char *head, const char *name, char *value,
                  size_t size);

/** Takes up to MAX bytes.  Returns their number; 0: the end. */
size_t stand_read_some (struct stand_conn *conn, char *data, size_t max);

/** Reads and drops the body of a request with HEAD. */
bool stand_skip_body (struct stand_conn *conn, const char *head);

/** An answer as its caller got it. */
struct stand_reply
{
  int status;    /**< 0: none. */
  bool complete; /**< Ended as its framing says. */
  char head[STAND_HEAD_BYTES];
  char *body; /**< Ends in a NUL byte. */
  size_t length;
};

/** Reads the answer to the last request. */
void stand_read_reply (struct stand_conn *conn, struct stand_reply *reply);
void stand_clear_reply (struct stand_reply *reply);

/* The store. */

void stand_store_start (void);

/** Writes KEY; deletes it if VALUE is NULL. */
void stand_store_write (const char *key, const char *value);

/** Writes the desired state that all cases use. */
void stand_store_configure (void);

/* Runners. */

struct stand_runner;

/** Serves a request that was read whole; returns whether the connection may
    be used on. */
typedef bool (*stand_serve) (struct stand_runner *runner,
                             struct stand_conn *conn, const char *head);

struct stand_runner
{
  pthread_mutex_t lock;
  int host;
  const char *service;
  const char *version;
  int slots;
  stand_serve serve;
  char id[STAND_ID_BYTES];
  int64_t born_ms;    /**< Start of its process by the wall clock. */
  int64_t started_ms; /**< The same, since the begin of the case. */
  int starts;
  bool up;
  bool entry_stale; /**< Its entry is not written since its last start. */
  int listener;
  int fds[1024];
  bool listed;        /**< Its entry is in the store. */
  int64_t written_ms; /**< When its entry was written last. */
};

/** Starts the runner and its heartbeat. */
void stand_runner_create (struct stand_runner *runner, int host,
                          const char *service, int slots, stand_serve serve);

/** Ends the runner's process: its connections end.  Returns whether it ran. */
bool stand_runner_crash (struct stand_runner *runner);

/** Starts it again, under its old identifier or a new one. */
void stand_runner_start (struct stand_runner *runner, bool same_id);

/** Answers 421 if HEAD names another runner.  Returns whether it did. */
bool stand_runner_misdirected (struct stand_runner *runner,
                               const struct stand_conn *conn,
                               const char *head);

/** Begins a signed event stream for the request with HEAD.  FIELDS are further
    lines of the answer's head. */
bool stand_begin_stream (const struct stand_conn *conn, const char *head,
                         const char *fields);

/** Sends event NUMBER, with the runner's software version as its data. */
bool stand_send_event (const struct stand_runner *runner,
                       const struct stand_conn *conn, int number);
bool stand_end_stream (const struct stand_conn *conn);

/** Answers with a short signed body. */
bool stand_answer (const struct stand_conn *conn, const char *head);

/* Gateways. */

struct stand_gateway
{
  int host;
  pid_t pid; /**< 0: not running. */
};

/** Starts gateway HOST, 1 to STAND_GATEWAYS, with the deploy file's command.
 */
void stand_gateway_start (struct stand_gateway *gateway, int host);
void stand_gateway_kill (struct stand_gateway *gateway);

/** Returns whether it has ended by itself, and the signal that ended it. */
bool stand_gateway_ended (struct stand_gateway *gateway, int *signal_number);

/** Returns whether it says that it is ready. */
bool stand_gateway_ready (const struct stand_gateway *gateway);

/** Waits until all say so; ends the case otherwise. */
void stand_gateways_wait (struct stand_gateway *gateways, int count);

/** Memory in use, in kB; 0: not running. */
long stand_gateway_memory_kb (const struct stand_gateway *gateway);

#endif
