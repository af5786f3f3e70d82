/* Header fields of the Cutline platform: parsing and writing. */
#include "headers.h"

#include <glib.h>
#include <string.h>

static struct bd_head head;
/* Shared parts of the prompt that was read last. */
static size_t part_count;

static void
add_field (const char *name, const char *value)
{
  head.fields[head.field_count++]
      = (struct bd_field){ bd_chunk_of (name), bd_chunk_of (value) };
}

static int
read_request_fields (struct bd_request_fields *fields)
{
  int error;

  memset (fields, 0, sizeof *fields);
  error = bd_cutline_dialect.read_request (&head, fields);
  part_count = fields->parts.count;
  bd_part_list_clear (&fields->parts);
  return error;
}

static void
start_request (void)
{
  head.field_count = 0;
  add_field ("X-Basildock-Attempt-Id", "a1");
}

static void
test_prompt (void)
{
  struct bd_request_fields fields;
  struct bd_request_fields other;

  start_request ();
  add_field ("X-Basildock-Prefix-Hash", "5c1e:800,91bd:410,e440:250");
  add_field ("X-Basildock-Token-Usage", "1460,80");
  add_field ("X-Basildock-Deadline-Ms", "12000");
  add_field ("Authorization", "Token key1");
  g_assert_cmpint (read_request_fields (&fields), ==, BD_OK);
  g_assert_cmpuint (part_count, ==, 2);
  g_assert_cmpuint (fields.shared_tokens, ==, 1210);
  g_assert_cmpuint (fields.own_tokens, ==, 250);
  g_assert_cmpint (fields.caller_timeout_ms, ==, 12000);
  g_assert_true (bd_chunk_equal (fields.credential, BD_CHUNK ("key1")));
  /* A prompt that differs in its last segment only has the same prefix. */
  start_request ();
  add_field ("X-Basildock-Prefix-Hash", "5c1e:800,91bd:410,ffff:9");
  g_assert_cmpint (read_request_fields (&other), ==, BD_OK);
  g_assert_cmpuint (other.prefix_hash, ==, fields.prefix_hash);
  start_request ();
  add_field ("X-Basildock-Prefix-Hash", "5c1e:800,91be:410,ffff:9");
  read_request_fields (&other);
  g_assert_cmpuint (other.prefix_hash, !=, fields.prefix_hash);
}

/* A caller that continues a stream names the attempt that began it. */
static void
test_continued_stream (void)
{
  struct bd_request_fields fields;

  start_request ();
  g_assert_cmpint (read_request_fields (&fields), ==, BD_OK);
  g_assert_cmpuint (fields.last_event_id.length, ==, 0);
  g_assert_cmpuint (fields.origin_id.length, ==, 0);
  add_field ("Last-Event-Id", "7");
  add_field ("Resumes", "a0");
  g_assert_cmpint (read_request_fields (&fields), ==, BD_OK);
  g_assert_true (bd_chunk_equal (fields.last_event_id, BD_CHUNK ("7")));
  g_assert_true (bd_chunk_equal (fields.origin_id, BD_CHUNK ("a0")));
}

static void
test_absent_fields (void)
{
  struct bd_request_fields fields;

  start_request ();
  g_assert_cmpint (read_request_fields (&fields), ==, BD_OK);
  g_assert_cmpint (fields.caller_timeout_ms, ==, -1);
  g_assert_null (fields.credential.data);
  g_assert_cmpuint (fields.own_tokens, ==, 0);
  start_request ();
  add_field ("X-Basildock-Prefix-Hash", "5c1e:800");
  add_field ("Authorization", "Bearer key1");
  g_assert_cmpint (read_request_fields (&fields), ==, BD_OK);
  g_assert_cmpuint (fields.prefix_hash, ==, 0);
  g_assert_cmpuint (fields.own_tokens, ==, 800);
  g_assert_null (fields.credential.data);
}

static void
test_malformed (void)
{
  static const char *const malformed_prefixes[]
      = { "5c1e", "5c1e:x", "5c1e:1,,", ":", "a:1;b:2", "a:-1" };
  struct bd_request_fields fields;

  for (size_t i = 0; i < G_N_ELEMENTS (malformed_prefixes); i++)
    {
      start_request ();
      add_field ("X-Basildock-Prefix-Hash", malformed_prefixes[i]);
      g_assert_cmpint (read_request_fields (&fields), ==, BD_ERR_INVALID);
    }
  start_request ();
  add_field ("x-basildock-attempt-id", "a2");
  g_assert_cmpint (read_request_fields (&fields), ==, BD_ERR_INVALID);
  start_request ();
  add_field ("Authorization", "Token a");
  add_field ("Authorization", "Token b");
  g_assert_cmpint (read_request_fields (&fields), ==, BD_ERR_INVALID);
  head.field_count = 0;
  g_assert_cmpint (read_request_fields (&fields), ==, BD_ERR_INVALID);
}

static void
test_reserved (void)
{
  static const char *const reserved_fields[] = { "x-basildock-tenant",
                                                 "X-Basildock-Kv-Hold",
                                                 "Kv-From",
                                                 "kv-fetch",
                                                 "X-Basildock-Pin-Ms",
                                                 "X-Basildock-Kv-Backup",
                                                 "Authorization",
                                                 "X-Basildock-Target-Instance",
                                                 "X-Basildock-Deadline-Ms" };

  for (size_t i = 0; i < G_N_ELEMENTS (reserved_fields); i++)
    g_assert_true (
        bd_cutline_dialect.is_reserved (bd_chunk_of (reserved_fields[i])));
  g_assert_false (
      bd_cutline_dialect.is_reserved (BD_CHUNK ("X-Basildock-Attempt-Id")));
  g_assert_true (
      bd_cutline_dialect.is_end_to_end (BD_CHUNK ("x-basildock-model")));
  g_assert_false (bd_cutline_dialect.is_end_to_end (BD_CHUNK ("X-Other")));
}

static void
test_responses (void)
{
  struct bd_response_fields fields;

  head.field_count = 0;
  head.status = 200;
  add_field ("X-Basildock-Response-Signature", "s");
  bd_cutline_dialect.read_response (&head, &fields);
  g_assert_true (fields.authentic);
  g_assert_false (fields.not_executed);
  head.field_count = 0;
  head.status = 503;
  bd_cutline_dialect.read_response (&head, &fields);
  g_assert_false (fields.authentic);
  g_assert_false (fields.not_executed);
  add_field ("X-Basildock-Not-Executed", "1");
  bd_cutline_dialect.read_response (&head, &fields);
  g_assert_true (fields.not_executed);
  head.field_count = 0;
  head.status = 421;
  bd_cutline_dialect.read_response (&head, &fields);
  g_assert_true (fields.not_executed);
}

/* A runner is shutting down only if Server-Leaving itself is "1"; other values
   and similar field names do not count. */
static void
test_leaving (void)
{
  static const struct
  {
    const char *name;
    const char *value;
    bool leaving;
  } cases[] = { { "Server-Leaving", "1", true },
                { "server-leaving", "1", true },
                { "Server-Leaving", "0", false },
                { "Server-Leaving", "", false },
                { "X-Server-Leaving", "1", false } };
  struct bd_response_fields fields;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      head.field_count = 0;
      head.status = 200;
      add_field (cases[i].name, cases[i].value);
      bd_cutline_dialect.read_response (&head, &fields);
      g_assert_cmpint (fields.leaving, ==, cases[i].leaving);
    }
}

/* A rate limit is a decimal number of requests a second; anything else is
   neither a limit nor the end of one. */
static void
test_rate_limit (void)
{
  static const struct
  {
    const char *value;
    int error;
    int64_t rate;
  } cases[] = { { "4.1", BD_OK, 4100 },
                { "1", BD_OK, 1000 },
                { "0", BD_OK, 0 },
                { "0.0625", BD_OK, 62 },
                { "99999999999", BD_OK, INT64_C (1000000000000) },
                { "", BD_ERR_INVALID, 0 },
                { "-1", BD_ERR_INVALID, 0 },
                { "1e3", BD_ERR_INVALID, 0 },
                { "4,1", BD_ERR_INVALID, 0 },
                { "inf", BD_ERR_INVALID, 0 } };
  struct bd_response_fields fields;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      head.field_count = 0;
      head.status = 200;
      add_field ("Server-Limit", cases[i].value);
      bd_cutline_dialect.read_response (&head, &fields);
      g_assert_cmpint (fields.rate_limit_error, ==, cases[i].error);
      if (cases[i].error == BD_OK)
        g_assert_cmpint (fields.rate_limit, ==, cases[i].rate);
    }
  head.field_count = 0;
  bd_cutline_dialect.read_response (&head, &fields);
  g_assert_cmpint (fields.rate_limit_error, ==, BD_ERR_NOT_FOUND);
}

static void
test_directives (void)
{
  struct bd_request_directives directives = { .instance = BD_CHUNK ("i-1"),
                                              .workspace = BD_CHUNK ("w"),
                                              .left_ms = 90,
                                              .priority = 3 };
  struct bd_buffer out = { 0 };

  bd_cutline_dialect.write_directives (&out, &directives);
  g_assert_cmpstr (out.data, ==,
                   "X-Basildock-Target-Instance: i-1\r\n"
                   "X-Basildock-Deadline-Ms: 90\r\n"
                   "X-Basildock-Tenant: w\r\n"
                   "X-Basildock-Request-Priority: 3\r\n");
  bd_buffer_reset (&out);
  directives.workspace.length = 0;
  directives.left_ms = -5;
  directives.priority = -1;
  bd_cutline_dialect.write_directives (&out, &directives);
  g_assert_cmpstr (out.data, ==,
                   "X-Basildock-Target-Instance: i-1\r\n"
                   "X-Basildock-Deadline-Ms: 1\r\n");
  bd_buffer_clear (&out);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/headers/continued-stream", test_continued_stream);
  g_test_add_func ("/headers/prompt", test_prompt);
  g_test_add_func ("/headers/absent-fields", test_absent_fields);
  g_test_add_func ("/headers/malformed", test_malformed);
  g_test_add_func ("/headers/reserved", test_reserved);
  g_test_add_func ("/headers/responses", test_responses);
  g_test_add_func ("/headers/leaving", test_leaving);
  g_test_add_func ("/headers/rate-limit", test_rate_limit);
  g_test_add_func ("/headers/directives", test_directives);
  return g_test_run ();
}
