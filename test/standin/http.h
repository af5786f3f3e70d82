/**
 * @file http.h
 * HTTP helpers of the engine stand-in.  Included once, by engine.c.
 */
#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include <civetweb.h>
#include <netinet/in.h>
#include <sys/socket.h>

#define SOCKETS_MAX 4096

/* Finds the socket of a connection by its peer's port, since CivetWeb has no
   function that returns it. */
static int
find_socket (int remote_port)
{
  for (int fd = 3; fd < SOCKETS_MAX; fd++)
    {
      struct sockaddr_in peer = { 0 };
      socklen_t length = sizeof peer;

      if (getpeername (fd, (struct sockaddr *)&peer, &length) == 0
          && peer.sin_family == AF_INET
          && ntohs (peer.sin_port) == remote_port)
        return fd;
    }
  return -1;
}

static bool
peer_closed (int fd)
{
  char byte;

  return fd >= 0 && recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static int
send_json (struct mg_connection *c, int status, const char *text)
{
  mg_printf (c,
             "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
             status, mg_get_response_code_text (c, status), strlen (text),
             text);
  return status;
}

static int
send_error (struct mg_connection *c, int status, const char *code)
{
  char text[256];

  snprintf (text, sizeof text,
            "{\"error\":{\"message\":\"%s\",\"type\":\"standin\","
            "\"code\":\"%s\"}}",
            code, code);
  return send_json (c, status, text);
}

/* Copies a header for use in JSON without escapes: drops quotes, backslashes
   and all bytes that are not printable ASCII. */
static void
copy_printable (char *to, size_t size, const char *from)
{
  size_t n = 0;

  for (; from && *from != '\0' && n + 1 < size; from++)
    if (*from >= ' ' && *from < 127 && *from != '"' && *from != '\\')
      to[n++] = *from;
  to[n] = '\0';
}

#endif
