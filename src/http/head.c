#include "http/head.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

/* Digits that always fit in an int64_t. */
#define NUMBER_DIGITS_MAX 18
/* Largest decimal number; larger ones are reduced to it. */
#define DECIMAL_MAX ((int64_t)1000 * 1000 * 1000)
#define THOUSANDTHS 1000
/* Longest Retry-After, a year; longer ones are reduced to it. */
#define RETRY_AFTER_MAX_MS ((int64_t)366 * 24 * 60 * 60 * 1000)
#define MS_PER_S 1000
/* Switching Protocols. */
#define STATUS_OTHER_PROTOCOL 101

bool
bd_field_named (struct bd_chunk a, struct bd_chunk b)
{
  return a.length == b.length && strncasecmp (a.data, b.data, a.length) == 0;
}

struct bd_chunk
bd_head_value (const struct bd_head *head, struct bd_chunk name)
{
  for (size_t i = 0; i < head->field_count; i++)
    if (bd_field_named (head->fields[i].name, name))
      return head->fields[i].value;
  return (struct bd_chunk){ NULL, 0 };
}

size_t
bd_head_count (const struct bd_head *head, struct bd_chunk name)
{
  size_t count = 0;

  for (size_t i = 0; i < head->field_count; i++)
    count += bd_field_named (head->fields[i].name, name);
  return count;
}

/* Returns true when the comma-separated LIST contains the token NAME. */
static bool
list_contains (struct bd_chunk list, struct bd_chunk name)
{
  while (list.length > 0)
    {
      struct bd_chunk token = bd_chunk_split_off (&list, ',');

      while (token.length > 0 && (*token.data == ' ' || *token.data == '\t'))
        {
          token.data++;
          token.length--;
        }
      while (token.length > 0
             && (token.data[token.length - 1] == ' '
                 || token.data[token.length - 1] == '\t'))
        token.length--;
      if (bd_field_named (token, name))
        return true;
    }
  return false;
}

bool
bd_head_hop_by_hop (const struct bd_head *head, struct bd_chunk name)
{
  static const struct bd_chunk names[] = { { "Connection", 10 },
                                           { "Keep-Alive", 10 },
                                           { "TE", 2 },
                                           { "Trailer", 7 },
                                           { "Upgrade", 7 },
                                           { "Transfer-Encoding", 17 },
                                           { "Content-Length", 14 },
                                           { "Proxy-Connection", 16 },
                                           { "Proxy-Authenticate", 18 },
                                           { "Proxy-Authorization", 19 },
                                           { "Expect", 6 } };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (bd_field_named (names[i], name))
      return true;
  for (size_t i = 0; i < head->field_count; i++)
    if (bd_field_named (head->fields[i].name, BD_CHUNK ("Connection"))
        && list_contains (head->fields[i].value, name))
      return true;
  return false;
}

int
bd_number_parse (struct bd_chunk text, int64_t *number)
{
  int64_t value = 0;

  if (text.length == 0 || text.length > NUMBER_DIGITS_MAX)
    return BD_ERR_INVALID;
  for (size_t i = 0; i < text.length; i++)
    {
      if (text.data[i] < '0' || text.data[i] > '9')
        return BD_ERR_INVALID;
      value = value * 10 + (text.data[i] - '0');
    }
  *number = value;
  return BD_OK;
}

int
bd_head_decimal (const struct bd_head *head, struct bd_chunk name,
                 int64_t *thousandths)
{
  struct bd_chunk text = bd_head_value (head, name);
  const char *dot;
  struct bd_chunk whole = text;
  int64_t units;
  int64_t digit_value = THOUSANDTHS;

  if (!text.data)
    return BD_ERR_NOT_FOUND;
  dot = memchr (text.data, '.', text.length);
  if (dot)
    whole.length = (size_t)(dot - text.data);
  if (bd_number_parse (whole, &units) != BD_OK)
    return BD_ERR_INVALID;
  if (units > DECIMAL_MAX)
    units = DECIMAL_MAX;
  *thousandths = units * THOUSANDTHS;
  for (size_t i = whole.length + 1; i < text.length; i++)
    {
      if (text.data[i] < '0' || text.data[i] > '9')
        return BD_ERR_INVALID;
      digit_value /= 10;
      *thousandths += (text.data[i] - '0') * digit_value;
    }
  return BD_OK;
}

int
bd_head_retry_after_ms (const struct bd_head *head, int64_t *ms)
{
  int error = bd_head_decimal (head, BD_CHUNK ("Retry-After"), ms);

  if (error == BD_OK && *ms > RETRY_AFTER_MAX_MS)
    *ms = RETRY_AFTER_MAX_MS;
  return error;
}

int64_t
bd_head_keep_alive_ms (const struct bd_head *head, int64_t default_ms,
                       int64_t max_ms)
{
  static const char parameter[] = "timeout=";
  struct bd_chunk value = bd_head_value (head, BD_CHUNK ("Keep-Alive"));
  const char *at = value.data ? memmem (value.data, value.length, parameter,
                                        sizeof parameter - 1)
                              : NULL;
  struct bd_chunk digits = { NULL, 0 };
  int64_t seconds;

  if (!at)
    return default_ms;
  digits.data = at + sizeof parameter - 1;
  while (digits.data + digits.length < value.data + value.length
         && isdigit ((unsigned char)digits.data[digits.length]))
    digits.length++;
  if (bd_number_parse (digits, &seconds) != BD_OK
      || seconds > max_ms / MS_PER_S)
    return max_ms;
  return seconds * MS_PER_S;
}

/* Returns true when NAME is a valid field name.  Needed because http_parser
   accepts spaces before the colon. */
static bool
is_token (struct bd_chunk name)
{
  static const char marks[] = "!#$%&'*+-.^_`|~";

  for (size_t i = 0; i < name.length; i++)
    if (!isalnum ((unsigned char)name.data[i])
        && !memchr (marks, name.data[i], sizeof marks - 1))
      return false;
  return name.length > 0;
}

/* Returns true when TEXT has no control character; ALLOW_BLANKS permits space
   and tab, as in values. */
static bool
is_printable (struct bd_chunk text, bool allow_blanks)
{
  for (size_t i = 0; i < text.length; i++)
    {
      unsigned char c = (unsigned char)text.data[i];

      if (c == 0x7f || c < ' ' || (c == ' ' && !allow_blanks))
        if (c != '\t' || !allow_blanks)
          return false;
    }
  return true;
}

/* Returns true when TARGET is in origin form.  The other forms are rejected,
   so that only the Host field names the host. */
static bool
is_origin_form (struct bd_chunk target)
{
  return target.length > 0 && target.data[0] == '/'
         && is_printable (target, false);
}

/* Whether STATUS may be that of a response: RFC 9110 has the classes 1xx to
   5xx, and no request asks for another protocol. */
static bool
is_status (int status)
{
  return status >= 100 && status <= 599 && status != STATUS_OTHER_PROTOCOL;
}

int
bd_head_check (const struct bd_head *head, enum bd_http_side side)
{
  size_t lengths = bd_head_count (head, BD_CHUNK ("Content-Length"));
  size_t codings = bd_head_count (head, BD_CHUNK ("Transfer-Encoding"));

  for (size_t i = 0; i < head->field_count; i++)
    if (!is_token (head->fields[i].name)
        || !is_printable (head->fields[i].value, true))
      return BD_ERR_INVALID;
  if (side == BD_HTTP_REQUESTS && !is_origin_form (head->target))
    return BD_ERR_INVALID;
  if (lengths > 1 || codings > 1 || (lengths > 0 && codings > 0))
    return BD_ERR_INVALID;
  if (codings > 0
      && !bd_field_named (bd_head_value (head, BD_CHUNK ("Transfer-Encoding")),
                          BD_CHUNK ("chunked")))
    return BD_ERR_INVALID;
  if (side == BD_HTTP_REQUESTS && bd_head_count (head, BD_CHUNK ("Host")) != 1)
    return BD_ERR_INVALID;
  if (side == BD_HTTP_RESPONSES && !is_status (head->status))
    return BD_ERR_INVALID;
  return BD_OK;
}
