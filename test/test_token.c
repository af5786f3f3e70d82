#include "idempotency/token.h"

#include <glib.h>
#include <string.h>

static const struct bd_token token
    = { .workspace = 0xfeedfacecafebeefULL,
        .class_id = 7,
        .first_owner = "runner-3",
        .incarnation = UINT64_MAX,
        .created_wall_ms = 1700000000000,
        .expires_wall_ms = 1700086400000,
        .id = { .high = 1, .low = UINT64_MAX } };

static const struct bd_handover handover
    = { .key = { .id = { .high = 5, .low = 6 } },
        .fingerprint = 77,
        .successor = "runner-4",
        .successor_incarnation = 8,
        .from_incarnation = 9,
        .hops = 2,
        .expires_wall_ms = -1 };

/* Returns keys whose bytes all equal their number. */
static struct bd_token_keys
keys_of (size_t count, const unsigned char *numbers)
{
  struct bd_token_keys keys = { .count = count };

  for (size_t i = 0; i < count; i++)
    memset (keys.keys[i], numbers[i], BD_TOKEN_KEY_BYTES);
  return keys;
}

static void
test_round_trip (void)
{
  struct bd_token_keys keys = keys_of (1, (unsigned char[]){ 1 });
  struct bd_buffer a = { 0 };
  struct bd_buffer b = { 0 };
  struct bd_token t;
  struct bd_handover h;
  int64_t wall_ms;

  g_assert_cmpint (bd_token_seal (keys.keys[0], &token, &a), ==, BD_OK);
  g_assert_cmpint (bd_token_open (&keys, bd_buffer_chunk (&a), &t), ==, BD_OK);
  g_assert_cmpmem (&t, sizeof t, &token, sizeof token);
  g_assert_cmpint (bd_key_classify (bd_buffer_chunk (&a), &wall_ms), ==,
                   BD_KEY_ISSUED);
  g_assert_cmpint (bd_token_seal (keys.keys[0], &token, &b), ==, BD_OK);
  g_assert_cmpstr (a.data, !=, b.data);
  bd_buffer_reset (&b);
  g_assert_cmpint (bd_token_seal_handover (keys.keys[0], &handover, &b), ==,
                   BD_OK);
  g_assert_cmpint (bd_token_open_handover (&keys, bd_buffer_chunk (&b), &h),
                   ==, BD_OK);
  g_assert_cmpint (h.expires_wall_ms, ==, -1);
  g_assert_cmpstr (h.successor, ==, "runner-4");
  g_assert_cmpuint (h.hops, ==, 2);
  g_assert_cmpuint (h.fingerprint, ==, 77);
  g_assert_cmpuint (h.successor_incarnation, ==, 8);
  g_assert_cmpuint (h.from_incarnation, ==, 9);
  g_assert_true (bd_id_equal (h.key.id, handover.key.id));
  g_assert_cmpint (bd_token_open (&keys, bd_buffer_chunk (&b), &t), ==,
                   BD_ERR_KEY_INVALID);
  g_assert_cmpint (bd_token_open_handover (&keys, bd_buffer_chunk (&a), &h),
                   ==, BD_ERR_KEY_INVALID);
  bd_buffer_clear (&a);
  bd_buffer_clear (&b);
}

/* A handover with the prefix of a token must not open as a token. */
static void
test_prefix_is_sealed (void)
{
  struct bd_token_keys keys = keys_of (1, (unsigned char[]){ 1 });
  struct bd_buffer text = { 0 };
  struct bd_token t;

  bd_token_seal_handover (keys.keys[0], &handover, &text);
  memcpy (text.data, BD_TOKEN_PREFIX, strlen (BD_TOKEN_PREFIX));
  g_assert_cmpint (bd_token_open (&keys, bd_buffer_chunk (&text), &t), ==,
                   BD_ERR_KEY_INVALID);
  bd_buffer_clear (&text);
}

static void
test_key_replacement (void)
{
  static const struct
  {
    size_t count;
    unsigned char numbers[3];
    int expected;
  } cases[] = { { 1, { 1 }, BD_OK },
                { 2, { 2, 1 }, BD_OK },
                { 3, { 3, 2, 1 }, BD_OK },
                { 3, { 4, 3, 2 }, BD_ERR_KEY_INVALID },
                { 0, { 0 }, BD_ERR_KEY_INVALID } };
  struct bd_token_keys old = keys_of (1, (unsigned char[]){ 1 });
  struct bd_buffer text = { 0 };
  struct bd_token t;

  bd_token_seal (old.keys[0], &token, &text);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct bd_token_keys keys = keys_of (cases[i].count, cases[i].numbers);

      g_assert_cmpint (bd_token_open (&keys, bd_buffer_chunk (&text), &t), ==,
                       cases[i].expected);
    }
  bd_buffer_clear (&text);
}

static void
test_forged_and_truncated (void)
{
  struct bd_token_keys keys = keys_of (1, (unsigned char[]){ 1 });
  struct bd_buffer text = { 0 };
  struct bd_token t;
  struct bd_token zero;

  memset (&zero, 0, sizeof zero);
  bd_token_seal (keys.keys[0], &token, &text);
  for (size_t n = 0; n < text.length; n++)
    {
      struct bd_chunk cut = { text.data, n };
      char was = text.data[n];

      g_assert_cmpint (bd_token_open (&keys, cut, &t), ==, BD_ERR_KEY_INVALID);
      for (int c = 0; c < 256; c++)
        {
          text.data[n] = (char)c;
          g_assert_cmpint (bd_token_open (&keys, bd_buffer_chunk (&text), &t),
                           ==, (char)c == was ? BD_OK : BD_ERR_KEY_INVALID);
        }
      text.data[n] = was;
    }
  g_assert_cmpint (bd_token_open (&keys, BD_CHUNK ("bdk1_"), &t), ==,
                   BD_ERR_KEY_INVALID);
  g_assert_cmpmem (&t, sizeof t, &zero, sizeof zero);
  bd_buffer_append (&text, BD_CHUNK ("A"));
  g_assert_cmpint (bd_token_open (&keys, bd_buffer_chunk (&text), &t), ==,
                   BD_ERR_KEY_INVALID);
  bd_buffer_clear (&text);
}

static void
test_names_are_bounded (void)
{
  struct bd_token_keys keys = keys_of (1, (unsigned char[]){ 1 });
  struct bd_buffer text = { 0 };
  struct bd_token t = token;

  memset (t.first_owner, 'x', BD_IDEMPOTENCY_NAME_BYTES);
  t.first_owner[BD_IDEMPOTENCY_NAME_BYTES] = '\0';
  g_assert_cmpint (bd_token_seal (keys.keys[0], &t, &text), ==, BD_OK);
  g_assert_cmpuint (text.length, <=, BD_TOKEN_TEXT_BYTES);
  g_assert_cmpint (bd_token_open (&keys, bd_buffer_chunk (&text), &t), ==,
                   BD_OK);
  t.first_owner[BD_IDEMPOTENCY_NAME_BYTES] = 'x';
  g_assert_cmpint (bd_token_seal (keys.keys[0], &t, &text), ==,
                   BD_ERR_INVALID);
  t.first_owner[0] = '\0';
  g_assert_cmpint (bd_token_seal (keys.keys[0], &t, &text), ==,
                   BD_ERR_INVALID);
  bd_buffer_clear (&text);
}

static void
test_check (void)
{
  static const struct
  {
    uint64_t workspace;
    uint64_t class_id;
    int64_t before_expiry_ms;
    int expected;
  } cases[] = { { 0, 0, 1, BD_OK },
                { 1, 0, 1, BD_ERR_KEY_INVALID },
                { 0, 1, 1, BD_ERR_KEY_INVALID },
                { 1, 0, 0, BD_ERR_KEY_INVALID },
                { 0, 0, 0, BD_ERR_KEY_EXPIRED },
                { 0, 0, -1, BD_ERR_KEY_EXPIRED } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    g_assert_cmpint (
        bd_token_check (&token, token.workspace ^ cases[i].workspace,
                        token.class_id ^ cases[i].class_id,
                        token.expires_wall_ms - cases[i].before_expiry_ms),
        ==, cases[i].expected);
}

static void
test_classify (void)
{
  static const struct
  {
    const char *text;
    int expected;
    int64_t wall_ms;
  } cases[] = {
    { "", BD_ERR_KEY_INVALID, 0 },
    { "a", BD_KEY_OPAQUE, 0 },
    { "order 7", BD_ERR_KEY_INVALID, 0 },
    { "order\t7", BD_ERR_KEY_INVALID, 0 },
    { "\xc3\xa4", BD_ERR_KEY_INVALID, 0 },
    { "order\x7f", BD_ERR_KEY_INVALID, 0 },
    { "bdk1_", BD_KEY_OPAQUE, 0 },
    { "bdk1_x", BD_KEY_ISSUED, 0 },
    { "018bcfe5-6800-7abc-8def-0123456789ab", BD_KEY_TIME_ORDERED,
      1700000000000 },
    { "018BCFE5-6800-7ABC-BDEF-0123456789AB", BD_KEY_TIME_ORDERED,
      1700000000000 },
    { "018bcfe5-6800-4abc-8def-0123456789ab", BD_KEY_OPAQUE, 0 },
    { "018bcfe5-6800-7abc-cdef-0123456789ab", BD_KEY_OPAQUE, 0 },
    { "018bcfe5-6800-7abc-8def-0123456789ag", BD_KEY_OPAQUE, 0 },
    { "018bcfe5-6800-7abc-8def-0123456789a", BD_KEY_OPAQUE, 0 },
    { "018bcfe5x6800-7abc-8def-0123456789ab", BD_KEY_OPAQUE, 0 },
  };
  char longest[BD_TOKEN_HEADER_BYTES + 2];
  int64_t wall_ms = -1;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_test_message ("%s", cases[i].text);
      g_assert_cmpint (bd_key_classify (bd_chunk_of (cases[i].text), &wall_ms),
                       ==, cases[i].expected);
      g_assert_cmpint (wall_ms, ==, cases[i].wall_ms);
    }
  memset (longest, 'k', sizeof longest);
  g_assert_cmpint (
      bd_key_classify ((struct bd_chunk){ longest, BD_TOKEN_HEADER_BYTES },
                       &wall_ms),
      ==, BD_KEY_OPAQUE);
  g_assert_cmpint (
      bd_key_classify ((struct bd_chunk){ longest, BD_TOKEN_HEADER_BYTES + 1 },
                       &wall_ms),
      ==, BD_ERR_KEY_INVALID);
}

static void
test_key_make (void)
{
  struct bd_key a = bd_key_make (BD_CHUNK ("gebeya"), BD_CHUNK ("k1"));
  struct bd_key same = bd_key_make (BD_CHUNK ("gebeya"), BD_CHUNK ("k1"));
  struct bd_key text = bd_key_make (BD_CHUNK ("gebeya"), BD_CHUNK ("k2"));
  struct bd_key other = bd_key_make (BD_CHUNK ("apa"), BD_CHUNK ("k1"));
  struct bd_key moved = bd_key_make (BD_CHUNK ("gebeyak"), BD_CHUNK ("1"));

  g_assert_true (bd_id_equal (a.id, same.id));
  g_assert_false (bd_id_equal (a.id, text.id));
  g_assert_false (bd_id_equal (a.id, other.id));
  g_assert_false (bd_id_equal (a.id, moved.id));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/token/round-trip", test_round_trip);
  g_test_add_func ("/token/prefix-is-sealed", test_prefix_is_sealed);
  g_test_add_func ("/token/key-replacement", test_key_replacement);
  g_test_add_func ("/token/forged-and-truncated", test_forged_and_truncated);
  g_test_add_func ("/token/names-are-bounded", test_names_are_bounded);
  g_test_add_func ("/token/check", test_check);
  g_test_add_func ("/token/classify", test_classify);
  g_test_add_func ("/token/key-make", test_key_make);
  return g_test_run ();
}
