/**
 * @file tls.h
 * The server side of TLS, without I/O of its own: the caller passes encrypted
 * bytes between the session and the connection, and plaintext between the
 * session and the HTTP layer.
 */
#ifndef BD_TLS_H
#define BD_TLS_H

#include "common/string.h"

/** A certificate chain with its private key. */
struct bd_tls;

/** The TLS session of one connection. */
struct bd_tls_session;

/** Reads certificate and key from the PEM file PATH.  Returns NULL when they
    are missing or don't match, or without memory. */
struct bd_tls *bd_tls_create (const char *path);
void bd_tls_destroy (struct bd_tls *tls);

/** Returns a new session, or NULL without memory. */
struct bd_tls_session *bd_tls_accept (struct bd_tls *tls);
void bd_tls_session_destroy (struct bd_tls_session *session);

/** Adds encrypted bytes from the connection.  Returns BD_OK or
    BD_ERR_NOMEM. */
int bd_tls_feed (struct bd_tls_session *session, struct bd_chunk data);

/**
 * Decrypts at most SIZE bytes of plaintext into BYTES.  Returns BD_OK and the
 * number in *LENGTH; BD_ERR_STALE when it needs more encrypted bytes;
 * BD_ERR_CANCELLED when the peer closed the session; or BD_ERR_IO when the
 * session failed.
 */
int bd_tls_read (struct bd_tls_session *session, char *bytes, size_t size,
                 size_t *length);

/** Encrypts plaintext.  Returns BD_OK or BD_ERR_IO. */
int bd_tls_write (struct bd_tls_session *session, struct bd_chunk data);

/** Ends the sending side with a close_notify alert. */
void bd_tls_finish (struct bd_tls_session *session);

/** Returns the encrypted bytes to send on the connection; valid until the
    session is used again. */
struct bd_chunk bd_tls_pending (struct bd_tls_session *session);

/** Discards the bytes of bd_tls_pending (), which have been sent. */
void bd_tls_discard_pending (struct bd_tls_session *session);

#endif
