#include "wire/link.h"

#include <glib.h>
#include <zmq.h>

#define ANY "127.0.0.1:0"
#define WAIT_MS 20
#define TIMEOUT_US ((gint64)10 * G_USEC_PER_SEC)

static struct bd_link *
open_link (const char *name, const char *address, const char *public_key,
           const char *secret_key)
{
  struct bd_link_settings s = { .instance = name,
                                .address = address,
                                .curve_public = public_key,
                                .curve_secret = secret_key };
  int error;
  struct bd_link *link = bd_link_create (&s, &error);

  g_assert_cmpint (error, ==, BD_OK);
  return link;
}

static bool
receive (struct bd_link *link, uint32_t type, char from_name[64])
{
  gint64 until_us = g_get_monotonic_time () + TIMEOUT_US;
  enum bd_link_change change;
  struct bd_chunk from;
  struct bd_message m;

  while (g_get_monotonic_time () < until_us)
    {
      /* An unread change would end each wait at once. */
      while (bd_link_change (link, &from, &change))
        continue;
      if (bd_link_receive (link, &from, &m) == BD_OK)
        {
          g_strlcpy (from_name, from.data, MIN (from.length + 1, 64));
          return m.type == type;
        }
      bd_link_wait (link, -1, WAIT_MS);
    }
  return false;
}

static void
check_exchange (const char *public_key, const char *secret_key)
{
  struct bd_link *a = open_link ("entry-1", ANY, public_key, secret_key);
  struct bd_link *b = open_link ("runner-1", ANY, public_key, secret_key);
  struct bd_message m = { .type = BD_MESSAGE_RESERVE };
  char from[64];

  g_assert_cmpint (bd_link_send (a, BD_CHUNK ("runner-1"), &m), ==,
                   BD_ERR_NOT_FOUND);
  g_assert_cmpint (bd_link_connect (a, BD_CHUNK ("runner-1"),
                                    bd_chunk_of (bd_link_address (b))),
                   ==, BD_OK);
  g_assert_cmpint (bd_link_send (a, BD_CHUNK ("runner-1"), &m), ==, BD_OK);
  g_assert_true (receive (b, BD_MESSAGE_RESERVE, from));
  g_assert_cmpstr (from, ==, "entry-1");
  m.type = BD_MESSAGE_GRANT;
  g_assert_cmpint (bd_link_send (b, BD_CHUNK ("entry-1"), &m), ==, BD_OK);
  g_assert_true (receive (a, BD_MESSAGE_GRANT, from));
  g_assert_cmpstr (from, ==, "runner-1");
  g_assert_cmpuint (bd_link_counts (a)->sent[0], ==, 1);
  g_assert_cmpuint (bd_link_counts (a)->received[0], ==, 1);
  bd_link_destroy (b);
  bd_link_destroy (a);
}

static void
test_plain (void)
{
  check_exchange ("", "");
}

static void
test_curve (void)
{
  char public_key[41];
  char secret_key[41];

  zmq_curve_keypair (public_key, secret_key);
  check_exchange (public_key, secret_key);
}

static bool
wait_for_change (struct bd_link *link, enum bd_link_change wanted)
{
  struct bd_chunk instance;
  enum bd_link_change change;

  gint64 until_us = g_get_monotonic_time () + TIMEOUT_US;

  while (g_get_monotonic_time () < until_us)
    {
      while (bd_link_change (link, &instance, &change))
        if (change == wanted)
          return bd_chunk_equal (instance, BD_CHUNK ("runner-1"));
      bd_link_wait (link, -1, WAIT_MS);
    }
  return false;
}

/* A peer that ends and restarts at the same address is reported as lost and
   as connected, and receives messages under the same name again. */
static void
test_reconnect_after_loss (void)
{
  struct bd_link *a = open_link ("entry-1", ANY, "", "");
  struct bd_link *b = open_link ("runner-1", ANY, "", "");
  struct bd_message m = { .type = BD_MESSAGE_RESERVE };
  char address[64];
  char from[64];

  g_strlcpy (address, bd_link_address (b), sizeof address);
  bd_link_connect (a, BD_CHUNK ("runner-1"), bd_chunk_of (address));
  g_assert_true (wait_for_change (a, BD_LINK_UP));
  bd_link_destroy (b);
  g_assert_true (wait_for_change (a, BD_LINK_LOST));
  b = open_link ("runner-1", address, "", "");
  g_assert_true (wait_for_change (a, BD_LINK_UP));
  g_assert_cmpint (bd_link_send (a, BD_CHUNK ("runner-1"), &m), ==, BD_OK);
  g_assert_true (receive (b, BD_MESSAGE_RESERVE, from));
  bd_link_destroy (b);
  bd_link_destroy (a);
}

/* A process that was paused considers its peers silent, disconnects from them
   and reconnects at once, to the same or to another address.  Messages must
   reach the peer again, and libzmq must not abort the process, as it does when
   two connections have the same routing id. */
static void
test_reconnect_at_once (void)
{
  struct bd_link *a = open_link ("entry-1", ANY, "", "");
  struct bd_link *b = open_link ("runner-1", ANY, "", "");
  struct bd_link *c = open_link ("runner-1", ANY, "", "");
  struct bd_message m = { .type = BD_MESSAGE_RESERVE };
  char from[64];

  for (int i = 0; i < 20; i++)
    {
      struct bd_link *at = i % 3 == 2 ? c : b;

      g_assert_cmpint (bd_link_connect (a, BD_CHUNK ("runner-1"),
                                        bd_chunk_of (bd_link_address (at))),
                       ==, BD_OK);
      if (i % 2 == 0)
        {
          g_assert_true (wait_for_change (a, BD_LINK_UP));
          g_assert_cmpint (bd_link_send (a, BD_CHUNK ("runner-1"), &m), ==,
                           BD_OK);
          g_assert_true (receive (at, BD_MESSAGE_RESERVE, from));
        }
      bd_link_disconnect (a, BD_CHUNK ("runner-1"));
    }
  bd_link_destroy (c);
  bd_link_destroy (b);
  bd_link_destroy (a);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/link/plain", test_plain);
  g_test_add_func ("/link/curve", test_curve);
  g_test_add_func ("/link/reconnect-after-loss", test_reconnect_after_loss);
  g_test_add_func ("/link/reconnect-at-once", test_reconnect_at_once);
  return g_test_run ();
}
