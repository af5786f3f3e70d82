/**
 * @file string.h
 * Length-counted strings: views (struct bd_chunk) and growing buffers; also
 * identifiers as text.
 */
#ifndef BD_STRING_H
#define BD_STRING_H

#include "basildock.h"

#include <stdarg.h>

/** A chunk over a string literal. */
#define BD_CHUNK(literal)                                                     \
  ((struct bd_chunk){ .data = (literal), .length = sizeof (literal) - 1 })

/** Length of an identifier in hex, without the terminating NUL. */
#define BD_ID_HEX_LENGTH 32

/** Returns a view of the NUL-terminated TEXT; NULL gives an empty one. */
struct bd_chunk bd_chunk_of (const char *text);

/** Compares bytes and lengths. */
bool bd_chunk_equal (struct bd_chunk a, struct bd_chunk b);

/** Orders by bytes, then by length.  Returns a negative, zero or positive
    value. */
int bd_chunk_compare (struct bd_chunk a, struct bd_chunk b);

/** Compares in a time that depends on the lengths only. */
bool bd_chunk_equal_constant_time (struct bd_chunk a, struct bd_chunk b);

/**
 * Splits the text up to the next SEPARATOR, or all of it, off REST, and
 * returns it.  The separator is in neither.
 */
struct bd_chunk bd_chunk_split_off (struct bd_chunk *rest, char separator);

/** Returns a new NUL-terminated copy that the caller frees, or NULL. */
char *bd_chunk_copy (struct bd_chunk chunk);

/** Returns a 64-bit hash of the bytes (xxHash with seed 0, so that it is the
    same in every process). */
uint64_t bd_chunk_hash (struct bd_chunk chunk);

bool bd_id_equal (struct bd_id a, struct bd_id b);

/** Writes 32 hex digits and a NUL to TEXT. */
void bd_id_format (struct bd_id id, char text[BD_ID_HEX_LENGTH + 1]);

/** Reads 32 hex digits.  Returns BD_OK or BD_ERR_INVALID. */
int bd_id_parse (struct bd_chunk text, struct bd_id *id);

/** Returns a random identifier, from the system's secure generator. */
struct bd_id bd_id_random (void);

/**
 * A growing byte buffer.  A zero-initialized one is empty and valid; once
 * something was appended, its data is NUL-terminated.  After an append for
 * which there was no memory, further ones fail too until the buffer is cleared
 * or reset, so that whoever uses the content can check once.
 */
struct bd_buffer
{
  char *data;
  size_t length;
  size_t capacity;
  bool incomplete; /**< Something could not be appended. */
};

/** Frees the bytes; the buffer is empty and usable afterwards. */
void bd_buffer_clear (struct bd_buffer *buffer);

/** Empties the buffer, keeping its memory. */
void bd_buffer_reset (struct bd_buffer *buffer);

/** Appends the bytes of CHUNK.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_buffer_append (struct bd_buffer *buffer, struct bd_chunk chunk);

/**
 * Appends the bytes that TEXT encodes in base64 with padding.  Returns BD_OK,
 * BD_ERR_INVALID, which leaves the content as it was, or BD_ERR_NOMEM.
 */
int bd_buffer_append_base64 (struct bd_buffer *buffer, struct bd_chunk text);

/**
 * Appends TEXT as a value in the query of an address: all but letters, digits
 * and -._~/ is percent-encoded.  Returns BD_OK or BD_ERR_NOMEM.
 */
int bd_buffer_append_query (struct bd_buffer *buffer, struct bd_chunk text);

/** Appends formatted text.  Returns BD_OK, BD_ERR_NOMEM or BD_ERR_INVALID. */
int bd_buffer_printf (struct bd_buffer *buffer, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Removes the first COUNT bytes. */
void bd_buffer_consume (struct bd_buffer *buffer, size_t count);

/** Returns a view of the content, valid until the buffer changes. */
struct bd_chunk bd_buffer_chunk (const struct bd_buffer *buffer);

#endif
