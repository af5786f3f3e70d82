#include "common/mailbox.h"
#include "common/string.h"

#include <glib.h>
#include <string.h>

static void
test_chunk_order (void)
{
  g_assert_true (bd_chunk_equal (BD_CHUNK ("abc"), bd_chunk_of ("abc")));
  g_assert_false (bd_chunk_equal (BD_CHUNK ("abc"), BD_CHUNK ("abd")));
  g_assert_cmpint (bd_chunk_compare (BD_CHUNK ("ab"), BD_CHUNK ("abc")), <, 0);
  g_assert_cmpint (bd_chunk_compare (BD_CHUNK ("b"), BD_CHUNK ("abc")), >, 0);
  g_assert_cmpint (bd_chunk_compare (bd_chunk_of (NULL), BD_CHUNK ("")), ==,
                   0);
}

static void
test_id_round_trip (void)
{
  char text[BD_ID_HEX_LENGTH + 1];
  struct bd_id id = { .high = 0x0123456789abcdefULL, .low = 42 };
  struct bd_id back = { 0, 0 };

  bd_id_format (id, text);
  g_assert_cmpstr (text, ==, "0123456789abcdef000000000000002a");
  g_assert_cmpint (bd_id_parse (bd_chunk_of (text), &back), ==, BD_OK);
  g_assert_true (bd_id_equal (id, back));
  g_assert_cmpint (bd_id_parse (BD_CHUNK ("0123"), &back), ==, BD_ERR_INVALID);
  text[3] = 'x';
  g_assert_cmpint (bd_id_parse (bd_chunk_of (text), &back), ==,
                   BD_ERR_INVALID);
}

static void
test_buffer (void)
{
  struct bd_buffer b = { 0 };

  for (int i = 0; i < 100; i++)
    g_assert_cmpint (bd_buffer_printf (&b, "%02d,", i), ==, BD_OK);
  g_assert_cmpuint (b.length, ==, 300);
  bd_buffer_consume (&b, 297);
  g_assert_cmpstr (b.data, ==, "99,");
  bd_buffer_consume (&b, 99);
  g_assert_cmpuint (b.length, ==, 0);
  bd_buffer_clear (&b);
}

static void
test_error_table (void)
{
  for (int e = 0; e > BD_ERR_LIMIT; e--)
    {
      const struct bd_answer *a = bd_error_answer (e);

      g_assert_cmpint (a->status, >=, 200);
      g_assert_nonnull (a->code);
      for (int f = 0; f > e; f--)
        g_assert_cmpstr (bd_error_answer (f)->code, !=, a->code);
    }
  g_assert_cmpstr (bd_error_answer (BD_ERR_LIMIT)->code, ==, "internal");
  g_assert_cmpstr (bd_error_answer (7)->code, ==, "internal");
}

#define POSTERS 4
#define POSTS_EACH 10000

struct numbered_mail
{
  struct bd_mail mail;
  int number;
};

static gpointer
post_many (gpointer data)
{
  for (int i = 0; i < POSTS_EACH; i++)
    {
      struct numbered_mail *m = g_new0 (struct numbered_mail, 1);

      m->number = i;
      bd_mailbox_post (data, &m->mail);
    }
  return NULL;
}

static void
test_mailbox_loses_nothing (void)
{
  struct bd_mailbox *box = bd_mailbox_create ();
  GThread *threads[POSTERS];
  long sum = 0;
  int got = 0;

  for (int i = 0; i < POSTERS; i++)
    threads[i] = g_thread_new ("poster", post_many, box);
  while (got < POSTERS * POSTS_EACH)
    {
      struct bd_mail *mail = bd_mailbox_wait (box, -1);

      if (!mail)
        continue;
      sum += ((struct numbered_mail *)mail)->number;
      got++;
      g_free (mail);
    }
  for (int i = 0; i < POSTERS; i++)
    g_thread_join (threads[i]);
  g_assert_null (bd_mailbox_take (box));
  g_assert_cmpint (sum, ==, (long)POSTERS * POSTS_EACH * (POSTS_EACH - 1) / 2);
  bd_mailbox_destroy (box);
}

/* Text that is not base64 with padding changes nothing. */
static void
test_base64 (void)
{
  static const char *const malformed[]
      = { "***", "YWI", "YWI=x", "YW I=", "=" };
  struct bd_buffer buffer = { 0 };

  g_assert_cmpint (bd_buffer_append_base64 (&buffer, BD_CHUNK ("")), ==,
                   BD_OK);
  g_assert_cmpuint (buffer.length, ==, 0);
  g_assert_cmpint (bd_buffer_append_base64 (&buffer, BD_CHUNK ("YWI=")), ==,
                   BD_OK);
  g_assert_cmpint (bd_buffer_append_base64 (&buffer, BD_CHUNK ("AGNk")), ==,
                   BD_OK);
  g_assert_cmpmem (buffer.data, buffer.length, "ab\0cd", 5);
  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    g_assert_cmpint (
        bd_buffer_append_base64 (&buffer, bd_chunk_of (malformed[i])), ==,
        BD_ERR_INVALID);
  g_assert_cmpmem (buffer.data, buffer.length, "ab\0cd", 5);
  bd_buffer_clear (&buffer);
}

static void
test_split_off (void)
{
  struct bd_chunk rest = BD_CHUNK ("a,,b");
  static const char *const parts[] = { "a", "", "b", "" };

  for (size_t i = 0; i < G_N_ELEMENTS (parts); i++)
    g_assert_true (bd_chunk_equal (bd_chunk_split_off (&rest, ','),
                                   bd_chunk_of (parts[i])));
  g_assert_cmpuint (rest.length, ==, 0);
}

static void
test_query (void)
{
  struct bd_buffer buffer = { 0 };

  g_assert_cmpint (bd_buffer_append_query (&buffer, BD_CHUNK ("a/-._~9 \0%&")),
                   ==, BD_OK);
  g_assert_cmpstr (buffer.data, ==, "a/-._~9%20%00%25%26");
  bd_buffer_clear (&buffer);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/string/chunk-order", test_chunk_order);
  g_test_add_func ("/string/id-round-trip", test_id_round_trip);
  g_test_add_func ("/string/buffer", test_buffer);
  g_test_add_func ("/error/table", test_error_table);
  g_test_add_func ("/mailbox/loses-nothing", test_mailbox_loses_nothing);
  g_test_add_func ("/string/base64", test_base64);
  g_test_add_func ("/string/split-off", test_split_off);
  g_test_add_func ("/string/query", test_query);
  return g_test_run ();
}
