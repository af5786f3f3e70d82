#include "common/string.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define BUFFER_INITIAL_BYTES 64

struct bd_chunk
bd_chunk_of (const char *text)
{
  struct bd_chunk c = { .data = text, .length = text ? strlen (text) : 0 };
  return c;
}

bool
bd_chunk_equal (struct bd_chunk a, struct bd_chunk b)
{
  if (a.length != b.length)
    return false;
  return a.length == 0 || memcmp (a.data, b.data, a.length) == 0;
}

int
bd_chunk_compare (struct bd_chunk a, struct bd_chunk b)
{
  size_t n = a.length < b.length ? a.length : b.length;
  int order = n > 0 ? memcmp (a.data, b.data, n) : 0;

  if (order != 0)
    return order;
  return (a.length > b.length) - (a.length < b.length);
}

bool
bd_chunk_equal_constant_time (struct bd_chunk a, struct bd_chunk b)
{
  if (a.length != b.length)
    return false;
  return a.length == 0 || sodium_memcmp (a.data, b.data, a.length) == 0;
}

struct bd_chunk
bd_chunk_split_off (struct bd_chunk *rest, char separator)
{
  struct bd_chunk first = *rest;
  const char *at
      = rest->length > 0 ? memchr (rest->data, separator, rest->length) : NULL;

  if (at)
    first.length = (size_t)(at - rest->data);
  rest->data += first.length + (at ? 1 : 0);
  rest->length -= first.length + (at ? 1 : 0);
  return first;
}

char *
bd_chunk_copy (struct bd_chunk chunk)
{
  char *copy = malloc (chunk.length + 1);

  if (!copy)
    return NULL;
  if (chunk.length > 0)
    memcpy (copy, chunk.data, chunk.length);
  copy[chunk.length] = '\0';
  return copy;
}

uint64_t
bd_chunk_hash (struct bd_chunk chunk)
{
  return XXH64 (chunk.length > 0 ? chunk.data : "", chunk.length, 0);
}

bool
bd_id_equal (struct bd_id a, struct bd_id b)
{
  return a.high == b.high && a.low == b.low;
}

void
bd_id_format (struct bd_id id, char text[BD_ID_HEX_LENGTH + 1])
{
  snprintf (text, BD_ID_HEX_LENGTH + 1, "%016llx%016llx",
            (unsigned long long)id.high, (unsigned long long)id.low);
}

static int
hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

int
bd_id_parse (struct bd_chunk text, struct bd_id *id)
{
  uint64_t parts[2] = { 0, 0 };

  if (text.length != BD_ID_HEX_LENGTH)
    return BD_ERR_INVALID;
  for (size_t i = 0; i < BD_ID_HEX_LENGTH; i++)
    {
      int digit = hex_digit (text.data[i]);

      if (digit < 0)
        return BD_ERR_INVALID;
      parts[i / 16] = parts[i / 16] << 4 | (uint64_t)digit;
    }
  id->high = parts[0];
  id->low = parts[1];
  return BD_OK;
}

struct bd_id
bd_id_random (void)
{
  struct bd_id id;

  randombytes_buf (&id, sizeof id);
  return id;
}

void
bd_buffer_clear (struct bd_buffer *buffer)
{
  free (buffer->data);
  memset (buffer, 0, sizeof *buffer);
}

void
bd_buffer_reset (struct bd_buffer *buffer)
{
  buffer->length = 0;
  buffer->incomplete = false;
  if (buffer->data)
    buffer->data[0] = '\0';
}

static int
buffer_reserve (struct bd_buffer *buffer, size_t extra)
{
  size_t need = buffer->length + extra + 1;
  size_t capacity
      = buffer->capacity > 0 ? buffer->capacity : BUFFER_INITIAL_BYTES;
  char *data;

  if (buffer->incomplete)
    return BD_ERR_NOMEM;
  if (need <= buffer->capacity)
    return BD_OK;
  while (capacity < need)
    capacity *= 2;
  data = realloc (buffer->data, capacity);
  if (!data)
    {
      buffer->incomplete = true;
      return BD_ERR_NOMEM;
    }
  buffer->data = data;
  buffer->capacity = capacity;
  return BD_OK;
}

int
bd_buffer_append (struct bd_buffer *buffer, struct bd_chunk chunk)
{
  int rc = buffer_reserve (buffer, chunk.length);

  if (rc != BD_OK)
    return rc;
  if (chunk.length > 0)
    memcpy (buffer->data + buffer->length, chunk.data, chunk.length);
  buffer->length += chunk.length;
  buffer->data[buffer->length] = '\0';
  return BD_OK;
}

int
bd_buffer_append_base64 (struct bd_buffer *buffer, struct bd_chunk text)
{
  size_t length = 0;
  int rc = buffer_reserve (buffer, text.length);

  if (rc != BD_OK)
    return rc;
  if (sodium_base642bin ((unsigned char *)buffer->data + buffer->length,
                         text.length, text.data, text.length, NULL, &length,
                         NULL, sodium_base64_VARIANT_ORIGINAL)
      == 0)
    buffer->length += length;
  else
    rc = BD_ERR_INVALID;
  buffer->data[buffer->length] = '\0';
  return rc;
}

static bool
is_plain_in_query (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
         || (c >= '0' && c <= '9') || (c && strchr ("-._~/", c));
}

int
bd_buffer_append_query (struct bd_buffer *buffer, struct bd_chunk text)
{
  int error = BD_OK;

  for (size_t i = 0; i < text.length && error == BD_OK; i++)
    if (is_plain_in_query (text.data[i]))
      error = bd_buffer_append (buffer, (struct bd_chunk){ &text.data[i], 1 });
    else
      error = bd_buffer_printf (buffer, "%%%02X",
                                (unsigned)(unsigned char)text.data[i]);
  return error;
}

int
bd_buffer_printf (struct bd_buffer *buffer, const char *format, ...)
{
  va_list args;
  int need;
  int rc;

  va_start (args, format);
  need = vsnprintf (NULL, 0, format, args);
  va_end (args);
  if (need < 0)
    return BD_ERR_INVALID;
  rc = buffer_reserve (buffer, (size_t)need);
  if (rc != BD_OK)
    return rc;
  va_start (args, format);
  vsnprintf (buffer->data + buffer->length, (size_t)need + 1, format, args);
  va_end (args);
  buffer->length += (size_t)need;
  return BD_OK;
}

void
bd_buffer_consume (struct bd_buffer *buffer, size_t count)
{
  if (count >= buffer->length)
    {
      bd_buffer_reset (buffer);
      return;
    }
  memmove (buffer->data, buffer->data + count, buffer->length - count + 1);
  buffer->length -= count;
}

struct bd_chunk
bd_buffer_chunk (const struct bd_buffer *buffer)
{
  struct bd_chunk c = { .data = buffer->data, .length = buffer->length };
  return c;
}
