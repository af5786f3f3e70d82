#include "gateway/origin_notice.h"

void
bd_origin_notice_apply (struct bd_stream_origins *origins,
                        const struct bd_origin_notice *notice, int64_t now_ms)
{
  struct bd_stream_origin origin
      = { notice->stream, notice->software, now_ms + notice->keep_ms };

  bd_stream_origins_record (origins, &origin, now_ms);
}

void
bd_origin_notice_write (struct bd_pack *pack,
                        const struct bd_origin_notice *notice)
{
  bd_pack_uint (pack, notice->stream);
  bd_pack_uint (pack, notice->software);
  bd_pack_int (pack, notice->keep_ms);
}

void
bd_origin_notice_read (struct bd_unpack *unpack,
                       struct bd_origin_notice *notice)
{
  notice->stream = bd_unpack_uint (unpack);
  notice->software = bd_unpack_uint (unpack);
  notice->keep_ms = bd_unpack_int (unpack);
  if (notice->stream == 0 || notice->software == BD_SOFTWARE_ANY
      || notice->keep_ms < 0 || notice->keep_ms > BD_ORIGIN_KEEP_MAX_MS)
    unpack->error = BD_ERR_PROTOCOL;
}
