/**
 * @file document_reader.h
 * Strict, table-driven reader of published JSON documents.
 *
 * A table gives each field with its kind and range.  A missing, duplicate,
 * unknown or out-of-range field makes the whole document invalid; one error
 * line names the document, the field and the reason.
 */
#ifndef BD_DOCUMENT_READER_H
#define BD_DOCUMENT_READER_H

#include "common/json.h"

/** Largest value that the configuration service stores. */
#define BD_DOCUMENT_MAX_BYTES 1048576

enum bd_field_kind
{
  BD_FIELD_INT32,   /**< int32_t; range by value. */
  BD_FIELD_UINT8,   /**< uint8_t; range by value. */
  BD_FIELD_UINT64,  /**< uint64_t; range by value, up to INT64_MAX. */
  BD_FIELD_BOOL,    /**< bool; no range. */
  BD_FIELD_NAME,    /**< struct bd_chunk; range by length. */
  BD_FIELD_ADDRESS, /**< struct bd_chunk, "IPv4:PORT" or "[IPv6]:PORT". */
  BD_FIELD_OBJECT,  /**< const json_t *; range by count of members. */
  BD_FIELD_ARRAY    /**< const json_t *; range by count of elements. */
};

/** A field of a JSON object and the offset of its value in the record. */
struct bd_field
{
  const char *name;
  enum bd_field_kind kind;
  bool optional; /**< When absent, the record keeps its value. */
  int64_t min;
  int64_t max;
  size_t offset;
};

#define BD_READER_NO_INDEX SIZE_MAX

/** Current position of a reader, for the error line. */
struct bd_reader
{
  const char *kind;        /**< "workspace", "pool" or "manifest". */
  struct bd_chunk subject; /**< The workspace or pool; may be empty. */
  const char *group;       /**< Enclosing field, or NULL. */
  struct bd_chunk item;    /**< Member of the group; may be empty. */
  size_t index;            /**< Element of the group or BD_READER_NO_INDEX. */
  char *reason;            /**< Receives the error line. */
  size_t reason_size;
};

/**
 * Parses TEXT, which must be one JSON object of at most MAX_BYTES without
 * duplicate members.  Returns BD_OK, BD_ERR_CONTRACT or BD_ERR_NOMEM; the
 * caller releases *ROOT with json_decref ().
 */
int bd_reader_load (const struct bd_reader *reader, struct bd_chunk text,
                    size_t max_bytes, json_t **root);

/**
 * Reads OBJECT into RECORD by the table FIELDS with COUNT rows.  Chunks and
 * JSON pointers in the record point into OBJECT.  Returns BD_OK or
 * BD_ERR_CONTRACT.
 */
int bd_reader_read (const struct bd_reader *reader, const json_t *object,
                    const struct bd_field *fields, size_t count, void *record);

/** Writes the error line for FIELD and returns BD_ERR_CONTRACT. */
int bd_reader_fail (const struct bd_reader *reader, const char *field,
                    const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/**
 * True for MIN to MAX bytes of letters, digits, '.', '_' and '-' which begin
 * with a letter or digit, so that a name is safe in a URL and in a log line.
 */
bool bd_name_valid (struct bd_chunk name, size_t min, size_t max);

/** Storage for the strings of one document. */
struct bd_arena
{
  char *data;
  size_t length;
};

/** Copies the bytes of CHUNK to ARENA, which must be large enough, and lets
 * CHUNK point to the copy. */
void bd_arena_copy (struct bd_arena *arena, struct bd_chunk *chunk);

#endif
