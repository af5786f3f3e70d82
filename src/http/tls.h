/**
 * @file tls.h
 * The server's side of TLS, without input or output: bytes of the connection
 * go in and come out, as do those of the messages.
 */
#ifndef BD_TLS_H
#define BD_TLS_H

#include "common/string.h"

/** A certificate with its key. */
struct bd_tls;

/** One connection. */
struct bd_tls_session;

/** Reads the PEM file PATH.  Returns NULL when it has no certificate and key
    that belong together. */
struct bd_tls *bd_tls_create (const char *path);
void bd_tls_destroy (struct bd_tls *tls);

/** Returns NULL: no memory. */
struct bd_tls_session *bd_tls_accept (struct bd_tls *tls);
void bd_tls_session_destroy (struct bd_tls_session *session);

/** Takes in bytes of the connection.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_tls_feed (struct bd_tls_session *session, struct bd_chunk data);

/**
 * Takes out bytes of the messages, at most SIZE.  Returns BD_OK; BD_ERR_STALE
 * when more has to be fed first, BD_ERR_CANCELLED when the other side has
 * closed, BD_ERR_IO when the session is of no use any more.
 */
int bd_tls_read (struct bd_tls_session *session, char *bytes, size_t size,
                 size_t *length);

/** Puts in bytes of the messages.  Returns BD_OK or BD_ERR_IO. */
int bd_tls_write (struct bd_tls_session *session, struct bd_chunk data);

/** Nothing more is written. */
void bd_tls_finish (struct bd_tls_session *session);

/** Bytes for the connection; valid until the session is used again. */
struct bd_chunk bd_tls_pending (struct bd_tls_session *session);

/** They have been sent. */
void bd_tls_discard_pending (struct bd_tls_session *session);

#endif
