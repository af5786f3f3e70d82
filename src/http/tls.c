#include "http/tls.h"

#include "basildock.h"

#include <limits.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <stdlib.h>

struct bd_tls
{
  SSL_CTX *context;
};

struct bd_tls_session
{
  SSL *ssl;
  BIO *in;
  BIO *out;
};

struct bd_tls *
bd_tls_create (const char *path)
{
  struct bd_tls *tls = calloc (1, sizeof *tls);

  if (!tls)
    return NULL;
  tls->context = SSL_CTX_new (TLS_server_method ());
  if (tls->context
      && SSL_CTX_set_min_proto_version (tls->context, TLS1_2_VERSION) == 1
      && SSL_CTX_use_certificate_chain_file (tls->context, path) == 1
      && SSL_CTX_use_PrivateKey_file (tls->context, path, SSL_FILETYPE_PEM)
             == 1
      && SSL_CTX_check_private_key (tls->context) == 1)
    return tls;
  bd_tls_destroy (tls);
  return NULL;
}

void
bd_tls_destroy (struct bd_tls *tls)
{
  if (!tls)
    return;
  SSL_CTX_free (tls->context);
  free (tls);
}

struct bd_tls_session *
bd_tls_accept (struct bd_tls *tls)
{
  struct bd_tls_session *session = calloc (1, sizeof *session);

  if (!session)
    return NULL;
  session->ssl = SSL_new (tls->context);
  session->in = BIO_new (BIO_s_mem ());
  session->out = BIO_new (BIO_s_mem ());
  if (!session->ssl || !session->in || !session->out)
    {
      BIO_free (session->in);
      BIO_free (session->out);
      SSL_free (session->ssl);
      free (session);
      return NULL;
    }
  /* The SSL object owns both BIOs from here on. */
  SSL_set_bio (session->ssl, session->in, session->out);
  SSL_set_accept_state (session->ssl);
  return session;
}

void
bd_tls_session_destroy (struct bd_tls_session *session)
{
  if (!session)
    return;
  SSL_free (session->ssl);
  free (session);
}

int
bd_tls_feed (struct bd_tls_session *session, struct bd_chunk data)
{
  size_t written;

  if (BIO_write_ex (session->in, data.data, data.length, &written) != 1
      || written != data.length)
    return BD_ERR_NOMEM;
  return BD_OK;
}

int
bd_tls_read (struct bd_tls_session *session, char *bytes, size_t size,
             size_t *length)
{
  int rc;

  *length = 0;
  ERR_clear_error ();
  rc = SSL_read_ex (session->ssl, bytes, size, length);
  if (rc == 1)
    return BD_OK;
  switch (SSL_get_error (session->ssl, rc))
    {
    case SSL_ERROR_WANT_READ:
      return BD_ERR_STALE;
    case SSL_ERROR_ZERO_RETURN:
      return BD_ERR_CANCELLED;
    default:
      return BD_ERR_IO;
    }
}

int
bd_tls_write (struct bd_tls_session *session, struct bd_chunk data)
{
  size_t written = 0;

  if (data.length == 0)
    return BD_OK;
  ERR_clear_error ();
  /* A write to a memory BIO is complete or fails. */
  return SSL_write_ex (session->ssl, data.data, data.length, &written) == 1
                 && written == data.length
             ? BD_OK
             : BD_ERR_IO;
}

void
bd_tls_finish (struct bd_tls_session *session)
{
  ERR_clear_error ();
  SSL_shutdown (session->ssl);
}

struct bd_chunk
bd_tls_pending (struct bd_tls_session *session)
{
  char *data = NULL;
  long length = BIO_get_mem_data (session->out, &data);

  return (struct bd_chunk){ data, length > 0 ? (size_t)length : 0 };
}

void
bd_tls_discard_pending (struct bd_tls_session *session)
{
  (void)BIO_reset (session->out);
}
