/**
 * @file peer_certificate.c
 * The one function that CivetWeb 1.15 looks up in "libssl.so" after each
 * handshake and that OpenSSL 3 no longer has: without it, CivetWeb calls a
 * null pointer.  Built as a library with the SONAME "libssl.so" that depends
 * on OpenSSL's own, so that CivetWeb's dlopen finds this one loaded.
 */
#include <openssl/ssl.h>

#undef SSL_get_peer_certificate

X509 *SSL_get_peer_certificate (const SSL *ssl);

X509 *
SSL_get_peer_certificate (const SSL *ssl)
{
  return SSL_get1_peer_certificate (ssl);
}
