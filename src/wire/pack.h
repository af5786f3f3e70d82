/**
 * @file pack.h
 * Writing and reading MessagePack values in memory, over libmpack's tokens.
 * Errors stick: check once at the end.
 */
#ifndef BD_PACK_H
#define BD_PACK_H

#include "common/string.h"

/** Appends to a buffer; start with { .buffer = … }. */
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

/** Reads from memory; start with { .rest = … }. */
struct bd_unpack
{
  struct bd_chunk rest;
  int error; /**< BD_OK or BD_ERR_PROTOCOL. */
};

/** Each returns 0, or an empty chunk, once an error has occurred. */
uint32_t bd_unpack_array (struct bd_unpack *unpack);
uint32_t bd_unpack_map (struct bd_unpack *unpack);
uint64_t bd_unpack_uint (struct bd_unpack *unpack);
int64_t bd_unpack_int (struct bd_unpack *unpack);
/** The bytes point into the memory that is read. */
struct bd_chunk bd_unpack_bin (struct bd_unpack *unpack);
struct bd_id bd_unpack_id (struct bd_unpack *unpack);

/** Skips one value of any type and depth. */
void bd_unpack_skip (struct bd_unpack *unpack);

#endif
