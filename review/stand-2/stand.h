/**
 * @file stand.h
 * What the scripts of the second review share: a record, HTTP/1.1 over
 * blocking sockets, a stand-in of the platform's store, and the gateway as a
 * process.  All addresses are loopback addresses; ports are free ones.
 */
#ifndef STAND_H
#define STAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/** An HTTP message; TEXT holds the head, and BODY the body without chunks. */
struct message
{
  char *text;
  size_t head_length;
  char *body;
  size_t body_length;
  int status;    /**< Of a response. */
  bool complete; /**< False: it ended early, or nothing came in time. */
};

/** A gateway process with the settings of a small deployment. */
struct gateway
{
  char name[32];
  char ip[32];
  char settings[256]; /**< Path of its settings file. */
  char log[256];      /**< Path of what it writes to standard output. */
  int callers_port;
  int readiness_port;
  int internal_port;
  pid_t pid; /**< 0: not running. */
};

/** Milliseconds of the steady clock. */
int64_t now_ms (void);
void sleep_ms (int ms);

/** Opens the record; lines written by record () bear the time since. */
void record_open (const char *path);
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/** Returns an allocated text. */
char *format_text (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/** Listens on a free port of IP, or on *PORT if that is not 0.  Returns the
    socket, or -1. */
int listen_at (const char *ip, int *port);

/** Calls HANDLE in a thread of its own for each connection to LISTENER. */
void serve (int listener, void (*handle) (int fd));

/** Returns the connected socket, or -1. */
int connect_to (const char *ip, int port);
bool send_all (int fd, const void *data, size_t length);
bool send_text (int fd, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Reads a request or a response.  Returns false when the connection ended
    before its head was complete, or after TIMEOUT_MS without it. */
bool read_message (int fd, struct message *message, int timeout_ms);
void free_message (struct message *message);

/** Copies the value of field NAME to VALUE; returns false without one. */
bool field_of (const struct message *message, const char *name, char *value,
               size_t size);

/** Opens a port of the store at IP, and returns it.  Each port shows the same
    items; a gateway that is to be cut off has one of its own. */
int store_start (const char *ip);

/** Cuts off PORT, where nothing is answered from now on; 0: none is cut. */
void store_cut (int port);

/** Writes VALUE, a JSON text. */
void store_put (const char *key, const char *value);

/** Registers a runner, or its next process: its entry is written anew at each
    heartbeat, until store_runner_lost (), and is removed three heartbeats
    later. */
void store_add_runner (const char *id, const char *service, const char *ip,
                       int port, const char *version);
void store_runner_lost (const char *id);

/** Removes the entry of a runner that leaves. */
void store_remove_runner (const char *id);

/** Finds a port that is free on every IP, for TCP and UDP. */
int free_port (const char *const *ips, size_t count);

/** Writes the settings of GATEWAY, whose name and ip are set, and takes its
    ports; SEEDS is the JSON list of the seeds' addresses. */
void gateway_prepare (struct gateway *gateway, const char *folder,
                      int internal_port, int store_port, const char *seeds);

/** Starts GATEWAY with the command of the deploy file. */
bool gateway_start (struct gateway *gateway);

/** Waits until GATEWAY says that it is ready. */
bool gateway_wait_ready (const struct gateway *gateway, int timeout_ms);

/** Sends SIGNAL_NUMBER and waits for the end of the process. */
void gateway_end (struct gateway *gateway, int signal_number);

/** Returns the memory that process PID has in use, in kB; 0: it has ended. */
long process_kb (pid_t pid);

/** Starts PROGRAM with ARGUMENTS (NULL at the end), its output to LOG.
    Returns the process, or -1. */
pid_t start_process (const char *program, char *const *arguments,
                     const char *settings, const char *log);
void end_process (pid_t pid, int signal_number);

#endif
