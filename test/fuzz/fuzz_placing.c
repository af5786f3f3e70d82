/* Datagrams from other instances: news and placing messages. */

#include "gateway/news.h"
#include "gateway/placing.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* What was read can be written, and reads the same in number. */
static void
check_news (struct bd_chunk bytes)
{
  static struct bd_news news;
  static struct bd_news again;
  struct bd_buffer out = { 0 };

  if (bd_news_read (bytes, &news) != BD_OK)
    return;
  if (bd_news_write (&news, &out) != BD_OK
      || bd_news_read (bd_buffer_chunk (&out), &again) != BD_OK
      || again.name_count != news.name_count
      || again.load_count != news.load_count
      || again.strike_count != news.strike_count)
    __builtin_trap ();
  bd_buffer_clear (&out);
}

static void
check_placing (struct bd_chunk bytes)
{
  static struct bd_placing_message message;
  static struct bd_placing_message again;
  struct bd_buffer out = { 0 };

  if (bd_placing_read (bytes, &message) != BD_OK)
    return;
  if (bd_placing_write (&message, &out) != BD_OK
      || bd_placing_read (bd_buffer_chunk (&out), &again) != BD_OK
      || again.kind != message.kind)
    __builtin_trap ();
  bd_buffer_clear (&out);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bd_chunk bytes = { (const char *)data, size };

  check_news (bytes);
  check_placing (bytes);
  return 0;
}
