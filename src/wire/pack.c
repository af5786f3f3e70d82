#include "wire/pack.h"

#include <mpack.h>
#include <string.h>

#define ID_BYTES 16

static void
write_token (struct bd_pack *pack, mpack_token_t token)
{
  mpack_tokbuf_t tokens = MPACK_TOKBUF_INITIAL_VALUE;
  char bytes[MPACK_MAX_TOKEN_LEN];
  char *at = bytes;
  size_t left = sizeof bytes;

  if (pack->error != BD_OK)
    return;
  mpack_write (&tokens, &at, &left, &token);
  pack->error = bd_buffer_append (
      pack->buffer, (struct bd_chunk){ bytes, sizeof bytes - left });
}

void
bd_pack_array (struct bd_pack *pack, uint32_t count)
{
  write_token (pack, mpack_pack_array (count));
}

void
bd_pack_map (struct bd_pack *pack, uint32_t count)
{
  write_token (pack, mpack_pack_map (count));
}

void
bd_pack_uint (struct bd_pack *pack, uint64_t value)
{
  write_token (pack, mpack_pack_uint (value));
}

void
bd_pack_int (struct bd_pack *pack, int64_t value)
{
  write_token (pack, mpack_pack_sint (value));
}

void
bd_pack_bin (struct bd_pack *pack, struct bd_chunk bytes)
{
  write_token (pack, mpack_pack_bin ((mpack_uint32_t)bytes.length));
  if (pack->error == BD_OK)
    pack->error = bd_buffer_append (pack->buffer, bytes);
}

void
bd_pack_id (struct bd_pack *pack, struct bd_id id)
{
  char bytes[ID_BYTES];

  memcpy (bytes, &id.high, 8);
  memcpy (bytes + 8, &id.low, 8);
  bd_pack_bin (pack, (struct bd_chunk){ bytes, sizeof bytes });
}

static bool
read_token (struct bd_unpack *unpack, mpack_token_t *token)
{
  mpack_tokbuf_t tokens = MPACK_TOKBUF_INITIAL_VALUE;

  if (unpack->error == BD_OK && unpack->rest.length > 0
      && mpack_read (&tokens, &unpack->rest.data, &unpack->rest.length, token)
             == MPACK_OK)
    return true;
  unpack->error = BD_ERR_PROTOCOL;
  memset (token, 0, sizeof *token);
  return false;
}

static uint32_t
read_length (struct bd_unpack *unpack, mpack_token_type_t type)
{
  mpack_token_t token;

  if (!read_token (unpack, &token))
    return 0;
  if (token.type != type)
    {
      unpack->error = BD_ERR_PROTOCOL;
      return 0;
    }
  return token.length;
}

uint32_t
bd_unpack_array (struct bd_unpack *unpack)
{
  return read_length (unpack, MPACK_TOKEN_ARRAY);
}

uint32_t
bd_unpack_map (struct bd_unpack *unpack)
{
  return read_length (unpack, MPACK_TOKEN_MAP);
}

uint64_t
bd_unpack_uint (struct bd_unpack *unpack)
{
  mpack_token_t token;

  if (!read_token (unpack, &token))
    return 0;
  if (token.type == MPACK_TOKEN_UINT)
    return mpack_unpack_uint (token);
  unpack->error = BD_ERR_PROTOCOL;
  return 0;
}

int64_t
bd_unpack_int (struct bd_unpack *unpack)
{
  mpack_token_t token;

  if (!read_token (unpack, &token))
    return 0;
  if (token.type == MPACK_TOKEN_SINT)
    return mpack_unpack_sint (token);
  if (token.type == MPACK_TOKEN_UINT && mpack_unpack_uint (token) <= INT64_MAX)
    return (int64_t)mpack_unpack_uint (token);
  unpack->error = BD_ERR_PROTOCOL;
  return 0;
}

static struct bd_chunk
take_bytes (struct bd_unpack *unpack, uint32_t length)
{
  struct bd_chunk bytes = { unpack->rest.data, length };

  if (unpack->error != BD_OK || length > unpack->rest.length)
    {
      unpack->error = BD_ERR_PROTOCOL;
      return (struct bd_chunk){ NULL, 0 };
    }
  unpack->rest.data += length;
  unpack->rest.length -= length;
  return bytes;
}

struct bd_chunk
bd_unpack_bin (struct bd_unpack *unpack)
{
  return take_bytes (unpack, read_length (unpack, MPACK_TOKEN_BIN));
}

struct bd_id
bd_unpack_id (struct bd_unpack *unpack)
{
  struct bd_chunk bytes = bd_unpack_bin (unpack);
  struct bd_id id = { 0, 0 };

  if (bytes.length != ID_BYTES)
    {
      unpack->error = BD_ERR_PROTOCOL;
      return id;
    }
  memcpy (&id.high, bytes.data, 8);
  memcpy (&id.low, bytes.data + 8, 8);
  return id;
}

void
bd_unpack_skip (struct bd_unpack *unpack)
{
  uint64_t pending = 1;

  /* Each iteration consumes at least one byte, so a wrong count in the input
     ends the loop at the end of the input. */
  while (pending > 0)
    {
      mpack_token_t token;

      if (!read_token (unpack, &token))
        return;
      pending--;
      switch (token.type)
        {
        case MPACK_TOKEN_ARRAY:
          pending += token.length;
          break;
        case MPACK_TOKEN_MAP:
          pending += 2 * (uint64_t)token.length;
          break;
        case MPACK_TOKEN_BIN:
        case MPACK_TOKEN_STR:
        case MPACK_TOKEN_EXT:
          take_bytes (unpack, token.length);
          break;
        default:
          break;
        }
    }
}
