/**
 * @file support_responses.h
 * Responses of scripted runners, and checks of what was received.
 */
#ifndef BD_SUPPORT_RESPONSES_H
#define BD_SUPPORT_RESPONSES_H

#include <glib.h>
#include <string.h>

#define HEAD                                                                  \
  "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: @ID\r\n"                        \
  "X-Basildock-Response-Signature: sig\r\n"
#define OK_ANSWER HEAD "Content-Length: 2\r\n\r\nok"
#define STREAM_HEAD                                                           \
  HEAD "Content-Type: text/event-stream\r\nTransfer-Encoding: "               \
       "chunked\r\n\r\n"
/* "id: 1\ndata: a\n\n" and the like are 15 bytes. */
#define EVENT(n) "f\r\nid: " n "\ndata: a\n\n\r\n"
#define LAST_CHUNK "0\r\n\r\n"

#define REFUSAL                                                               \
  "HTTP/1.1 503 Service Unavailable\r\nX-Basildock-Attempt-Id: @ID\r\n"       \
  "X-Basildock-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
#define MISDIRECTED                                                           \
  "HTTP/1.1 421 Misdirected Request\r\nX-Basildock-Attempt-Id: @ID\r\n"       \
  "Content-Length: 0\r\n\r\n"

static inline void
assert_contains (const GString *text, const char *wanted)
{
  if (!strstr (text->str, wanted))
    g_error ("no \"%s\" in: %s", wanted, text->str);
}

static inline void
assert_lacks (const GString *text, const char *unwanted)
{
  if (strstr (text->str, unwanted))
    g_error ("\"%s\" in: %s", unwanted, text->str);
}

#endif
