#include "common/map.h"
#include "wire/message.h"

#include <glib.h>
#include <string.h>

static struct bd_message
sample (void)
{
  struct bd_message m = { .type = BD_MESSAGE_RESERVE,
                          .flags = BD_FLAG_STREAM | BD_FLAG_IDEMPOTENT,
                          .request = { 1, 2 },
                          .attempt = 3,
                          .incarnation = UINT64_MAX,
                          .budget_ms = -5,
                          .error = BD_ERR_OVERLOADED,
                          .workspace = BD_CHUNK ("gebeya"),
                          .body = { "a\0b", 3 },
                          .key = { 9, 0 },
                          .key_text = BD_CHUNK ("order-1") };

  return m;
}

static void
test_round_trip (void)
{
  struct bd_message m = sample ();
  struct bd_message back;
  struct bd_buffer b = { 0 };

  g_assert_cmpint (bd_message_encode (&m, &b), ==, BD_OK);
  g_assert_cmpint (bd_message_decode (bd_buffer_chunk (&b), &back), ==, BD_OK);
  g_assert_cmpuint (back.type, ==, BD_MESSAGE_RESERVE);
  g_assert_cmpuint (back.flags, ==, m.flags);
  g_assert_true (bd_id_equal (back.request, m.request));
  g_assert_true (bd_id_equal (back.key, m.key));
  g_assert_cmpuint (back.incarnation, ==, UINT64_MAX);
  g_assert_cmpint (back.budget_ms, ==, -5);
  g_assert_cmpint (back.error, ==, BD_ERR_OVERLOADED);
  g_assert_true (bd_chunk_equal (back.workspace, m.workspace));
  g_assert_true (bd_chunk_equal (back.body, m.body));
  g_assert_true (bd_chunk_equal (back.key_text, m.key_text));
  g_assert_cmpuint (back.sequence, ==, 0);
  bd_buffer_clear (&b);
}

/* Each proper prefix of a frame is rejected, and a changed byte causes no read
   outside of the frame. */
static void
test_hostile_frames (void)
{
  struct bd_message m = sample ();
  struct bd_message back;
  struct bd_buffer b = { 0 };

  bd_message_encode (&m, &b);
  for (size_t n = 0; n < b.length; n++)
    {
      char *copy = g_memdup2 (b.data, n + 1);
      struct bd_chunk c = { copy, n };

      g_assert_cmpint (bd_message_decode (c, &back), ==, BD_ERR_PROTOCOL);
      copy[n] ^= (char)0xff;
      c.length = n + 1;
      bd_message_decode (c, &back);
      g_free (copy);
    }
  bd_buffer_clear (&b);
}

/* The frame [1, 8, {200: "x", 3: 7}] has a field, 200, of a later version.
   Other wire versions and unknown types are rejected. */
static void
test_unknown_field_is_skipped (void)
{
  static const char frame[]
      = { (char)0x93, 1,          8,   (char)0x82, (char)0xcc,
          (char)200,  (char)0xa1, 'x', 3,          7 };
  static const char other_version[] = { (char)0x93, 2, 8, (char)0x80 };
  static const char other_type[] = { (char)0x93, 1, 99, (char)0x80 };
  struct bd_message m;

  g_assert_cmpint (
      bd_message_decode ((struct bd_chunk){ frame, sizeof frame }, &m), ==,
      BD_OK);
  g_assert_cmpuint (m.type, ==, BD_MESSAGE_CHUNK);
  g_assert_cmpuint (m.attempt, ==, 7);
  g_assert_cmpint (
      bd_message_decode (
          (struct bd_chunk){ other_version, sizeof other_version }, &m),
      ==, BD_ERR_PROTOCOL);
  g_assert_cmpint (bd_message_decode (
                       (struct bd_chunk){ other_type, sizeof other_type }, &m),
                   ==, BD_ERR_PROTOCOL);
}

/* Compares bd_map with GHashTable over a long sequence of random calls. */
static void
test_map_against_ghashtable (void)
{
  GRand *rand = g_rand_new_with_seed (7);
  GHashTable *naive = g_hash_table_new (NULL, NULL);
  struct bd_map *map = bd_map_create ();

  for (int i = 0; i < 200000; i++)
    {
      guint k = g_rand_int_range (rand, 1, 500);
      struct bd_id id = { .high = k / 16, .low = k % 4 };
      uint32_t number = k % 16 / 4;
      gpointer name = GUINT_TO_POINTER (k);

      if (g_rand_boolean (rand))
        {
          g_hash_table_insert (naive, name, name);
          g_assert_cmpint (bd_map_put (map, id, number, name), ==, BD_OK);
        }
      else
        {
          gpointer was = g_hash_table_lookup (naive, name);

          g_hash_table_remove (naive, name);
          g_assert_true (bd_map_remove (map, id, number) == was);
        }
      g_assert_true (bd_map_get (map, id, number)
                     == g_hash_table_lookup (naive, name));
      g_assert_cmpuint (bd_map_count (map), ==, g_hash_table_size (naive));
    }
  bd_map_destroy (map);
  g_hash_table_destroy (naive);
  g_rand_free (rand);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/message/round-trip", test_round_trip);
  g_test_add_func ("/message/hostile-frames", test_hostile_frames);
  g_test_add_func ("/message/unknown-field", test_unknown_field_is_skipped);
  g_test_add_func ("/map/against-ghashtable", test_map_against_ghashtable);
  return g_test_run ();
}
