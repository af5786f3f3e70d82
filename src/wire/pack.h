/**
 * @file pack.h
 * Writes and reads MessagePack values in memory, using libmpack's tokens.
 * After an error, further calls do nothing, so callers can check the field
 * error once at the end.
 */
#ifndef BD_PACK_H
#define BD_PACK_H

#include "common/string.h"

/** A writer that appends to a buffer; initialize with { .buffer = … }. */
struct bd_pack
{
  struct bd_buffer *buffer;
  int error; /**< BD_OK or BD_ERR_NOMEM. */
};

void bd_pack_array (struct bd_pack *pack, uint32_t count);
void bd_pack_map (struct bd_pack *pack, uint32_t count);
void bd_pack_uint (struct bd_pack *pack, uint64_t value);
void bd_pack_int (struct bd_pack *pack, int64_t value);
void bd_pack_bin (struct bd_pack *pack, struct bd_chunk bytes);
void bd_pack_id (struct bd_pack *pack, struct bd_id id);

/** A reader of bytes in memory; initialize with { .rest = … }. */
struct bd_unpack
{
  struct bd_chunk rest; /**< Bytes not yet read. */
  int error;            /**< BD_OK or BD_ERR_PROTOCOL. */
};

/* Each function returns 0, or an empty chunk, after an error. */

/** Reads the header of an array; returns the number of elements. */
uint32_t bd_unpack_array (struct bd_unpack *unpack);
/** Reads the header of a map; returns the number of pairs. */
uint32_t bd_unpack_map (struct bd_unpack *unpack);
uint64_t bd_unpack_uint (struct bd_unpack *unpack);
int64_t bd_unpack_int (struct bd_unpack *unpack);
/** Returns a view into the bytes that are read. */
struct bd_chunk bd_unpack_bin (struct bd_unpack *unpack);
struct bd_id bd_unpack_id (struct bd_unpack *unpack);

/** Skips one value of any type, including nested values. */
void bd_unpack_skip (struct bd_unpack *unpack);

#endif
